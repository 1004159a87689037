package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// returned holds the addresses that FreeAddress has returned.
var returned sync.Map

// FreeAddress returns an IP:PORT to listen on, which is unique within the process. The IP is in 127.0.0.0/8 and derived from
// the process ID. Outgoing connections use ports of 127.0.0.1, so neither they nor other processes can take the port before it
// is used.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid>>16&0x3f), byte(pid>>8), byte(pid))
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return "", fmt.Errorf("allocate a loopback address: %w", err)
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("allocate a loopback address: %w", err)
		}
		if _, used := returned.LoadOrStore(address, true); !used {
			return address, nil
		}
	}
}
