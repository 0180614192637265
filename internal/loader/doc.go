// Package loader reads YAML settings strictly: an unknown key, a wrong unit and a value out of range are errors
// that name the file, the line and the field, and all of them are reported at once.
//
// The rules of a field are stated in its struct tags, so that decoding, checking and the printed reference can't
// disagree:
//
//	unit      unit of the value, for messages and the reference
//	min, max  inclusive range of a number or duration
//	oneof     allowed strings, separated by commas
//	format    "name", "listen" (IP:port to bind) or "address" (IP:port to reach)
//	required  "true" if an empty value is an error
//	help      one line for the reference
package loader
