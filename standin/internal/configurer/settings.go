// Package configurer reads the settings of the stand-in platform.
package configurer

import (
	"bytes"
	_ "embed"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"coltsfootplank/standin/internal/appender"
	"coltsfootplank/standin/internal/booker"
	"coltsfootplank/standin/internal/generator"
	"coltsfootplank/standin/internal/lister"
	"coltsfootplank/standin/internal/supplier"
)

// Example is a complete settings file.
//
//go:embed example.yaml
var Example []byte

// Error is the class of errors returned by Load and Parse.
var Error = errs.Class("settings")

// maxPort is the highest TCP port.
const maxPort = 65535

// Settings configure the whole platform. Addresses are "ip:port"; port 0 chooses a free port. A component whose
// section is omitted still runs, with default values on a free port.
type Settings struct {
	Control string            `yaml:"control"`
	Log     appender.Settings `yaml:"log"`
	VMList  lister.Settings   `yaml:"vm_list"`
	Weights supplier.Settings `yaml:"weights"`
	Desks   []DeskGroup       `yaml:"desks"`
	Engines []EngineGroup     `yaml:"engines"`
}

// EngineGroup describes one engine, or Count engines on consecutive ports from BasePort on.
type EngineGroup struct {
	generator.Settings `yaml:",inline"`
	Placement          `yaml:",inline"`
}

// DeskGroup describes one order desk, or Count desks on consecutive ports from BasePort on.
type DeskGroup struct {
	booker.Settings `yaml:",inline"`
	Placement       `yaml:",inline"`
}

// Placement expands one entry into Count components, named "<name>-<i>" with i starting at 0, on the addresses
// IP:BasePort+i. The data centres are assigned in rotation.
type Placement struct {
	Count       int      `yaml:"count"`
	IP          string   `yaml:"ip"`
	BasePort    int      `yaml:"base_port"`
	DataCentres []string `yaml:"data_centres"`
}

// InvalidError reports a setting with an invalid value.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// Load reads a settings file. Errors are of class Error; those from parsing include the line and column.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(data)
}

// Parse reads settings from YAML. Unknown and repeated keys are errors.
func Parse(data []byte) (Settings, error) {
	settings := Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	if err := settings.completeAndValidate(); err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return settings, nil
}

// completeAndValidate sets the names of the services and the addresses that were omitted, and validates names and
// addresses.
func (s *Settings) completeAndValidate() error {
	s.Log.Name, s.VMList.Name, s.Weights.Name = "log", "vm_list", "weights"
	for _, field := range []*string{&s.Control, &s.Log.Address, &s.VMList.Address, &s.Weights.Address} {
		if *field == "" {
			*field = "127.0.0.1:0"
		}
	}
	addresses := map[string]string{
		"control": s.Control, "log": s.Log.Address, "vm_list": s.VMList.Address, "weights": s.Weights.Address,
	}
	for _, engine := range s.AllEngines() {
		if err := addAddress(addresses, engine.Name, engine.Address); err != nil {
			return err
		}
	}
	for _, desk := range s.AllDesks() {
		if err := addAddress(addresses, desk.Name, desk.Address); err != nil {
			return err
		}
	}
	return checkAddresses(addresses)
}

// AllEngines expands the engine groups into one entry for each engine.
func (s *Settings) AllEngines() []generator.Settings {
	var engines []generator.Settings
	for _, group := range s.Engines {
		for i := range max(1, group.Count) {
			engine := group.Settings
			engine.Name, engine.Address, engine.DataCentre =
				group.place(i, engine.Name, engine.Address, engine.DataCentre)
			engines = append(engines, engine)
		}
	}
	return engines
}

// AllDesks expands the desk groups into one entry for each order desk.
func (s *Settings) AllDesks() []booker.Settings {
	var desks []booker.Settings
	for _, group := range s.Desks {
		for i := range max(1, group.Count) {
			desk := group.Settings
			desk.Name, desk.Address, desk.DataCentre = group.place(i, desk.Name, desk.Address, desk.DataCentre)
			desks = append(desks, desk)
		}
	}
	return desks
}

// place returns the name, address and data centre of the component with index i.
func (p Placement) place(i int, name, address, dataCentre string) (string, string, string) {
	if len(p.DataCentres) > 0 {
		dataCentre = p.DataCentres[i%len(p.DataCentres)]
	}
	if p.Count > 0 {
		name = fmt.Sprintf("%s-%d", name, i)
	}
	if address != "" && p.Count <= 1 {
		return name, address, dataCentre
	}
	ip, port := p.IP, 0
	if ip == "" {
		ip = "127.0.0.1"
	}
	if p.BasePort > 0 {
		port = p.BasePort + i
	}
	return name, net.JoinHostPort(ip, strconv.Itoa(port)), dataCentre
}

func addAddress(addresses map[string]string, name, address string) error {
	if name == "" {
		return &InvalidError{Field: "name", Reason: "missing for the component with address " + address}
	}
	if _, taken := addresses[name]; taken {
		return &InvalidError{Field: "name", Reason: fmt.Sprintf("%q is used twice", name)}
	}
	addresses[name] = address
	return nil
}

// checkAddresses checks that each address is a loopback ip:port and that no address is used twice, except with port 0.
func checkAddresses(addresses map[string]string) error {
	owners := make(map[string]string)
	for name, address := range addresses {
		host, portText, err := net.SplitHostPort(address)
		if err != nil {
			return &InvalidError{Field: name, Reason: err.Error()}
		}
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return &InvalidError{Field: name, Reason: fmt.Sprintf("%q is not a loopback IP address", host)}
		}
		port, err := strconv.Atoi(portText)
		if err != nil || port < 0 || port > maxPort {
			return &InvalidError{Field: name, Reason: fmt.Sprintf("%q is not a port", portText)}
		}
		if owner, taken := owners[address]; taken && port != 0 {
			return &InvalidError{Field: name, Reason: fmt.Sprintf("address %s is also that of %s", address, owner)}
		}
		owners[address] = name
	}
	return nil
}
