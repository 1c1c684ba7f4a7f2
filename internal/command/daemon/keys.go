package daemon

import (
	"crypto/tls"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/reload"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/settings"
)

// held is the keys of a process; each address sees a reload at its next handshake.
type held struct {
	ring      *keys.Ring
	callers   *tls.Config
	operators *tls.Config
	parts     []reload.Part
}

// newHeld prepares every key that the settings name; the parts load them.
func newHeld(s settings.Settings) *held {
	k := &held{ring: &keys.Ring{}}
	k.parts = append(k.parts, reload.Part{Name: "keys", Files: s.Keys.Files(), LoadFunc: func() error {
		m, err := s.Keys.Load()
		if err != nil {
			return err
		}
		return k.ring.Load(m)
	}})
	k.callers = k.pair("callers", s.Callers.Certificate, s.Callers.Key)
	k.operators = k.pair("operators", s.Operators.Certificate, s.Operators.Key)
	return k
}

// pair prepares the certificate of an address, or returns nil when there is none.
func (k *held) pair(name string, certificate, key *settings.Source) *tls.Config {
	if certificate == nil || key == nil {
		return nil
	}
	p := &keys.Pair{}
	k.parts = append(k.parts, reload.Part{Name: name, Files: settings.Files(*certificate, *key), LoadFunc: func() error {
		c, private, err := settings.LoadPair(*certificate, *key)
		if err != nil {
			return err
		}
		return p.Load(c, private)
	}})
	return p.Config()
}
