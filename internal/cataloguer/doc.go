// Package cataloguer keeps the catalogue: its entries, their validation, and the fold of its log stream.
package cataloguer
