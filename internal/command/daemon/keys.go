package daemon

import (
	"crypto/tls"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/reload"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/settings"
)

// tlsKeys holds the TLS keys of the process. A reload takes effect at the next handshake
// on each address.
type tlsKeys struct {
	keyring   *keys.Keyring
	callers   *tls.Config
	operators *tls.Config
	fileSets  []reload.FileSet
}

// newTLSKeys prepares the keys that the settings name. They are empty until the file
// sets are loaded.
func newTLSKeys(s settings.Settings) *tlsKeys {
	k := &tlsKeys{keyring: &keys.Keyring{}}
	k.fileSets = append(k.fileSets, reload.FileSet{Name: "keys", Files: s.InnerTLS.Files(), LoadFunc: func() error {
		m, err := s.InnerTLS.Load()
		if err != nil {
			return err
		}
		return k.keyring.Load(m)
	}})
	k.callers = k.addPair("callers", s.Callers.Certificate, s.Callers.Key)
	k.operators = k.addPair("operators", s.Operators.Certificate, s.Operators.Key)
	return k
}

// addPair adds the file set of an address's certificate and key and returns the TLS
// configuration of the address, or nil if the settings name no certificate for it.
func (k *tlsKeys) addPair(name string, certificate, key *settings.Source) *tls.Config {
	if certificate == nil || key == nil {
		return nil
	}
	p := &keys.Pair{}
	k.fileSets = append(k.fileSets, reload.FileSet{Name: name, Files: settings.Files(*certificate, *key), LoadFunc: func() error {
		c, keyPEM, err := settings.LoadKeyPair(*certificate, *key)
		if err != nil {
			return err
		}
		return p.Load(c, keyPEM)
	}})
	return p.ServerConfig()
}
