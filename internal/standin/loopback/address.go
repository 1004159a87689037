package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// returned holds the addresses that FreeAddress has returned.
var returned sync.Map

// FreeAddress returns an IP:PORT to listen on, each once in a process. The IP is this process's own within 127.0.0.0/8: outgoing
// connections take ports of 127.0.0.1, so that neither they nor other processes can take the port before it is used.
func FreeAddress() (string, error) {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid>>16&0x3f), byte(pid>>8), byte(pid))
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return "", fmt.Errorf("free address: %w", err)
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("free address: %w", err)
		}
		if _, again := returned.LoadOrStore(address, true); !again {
			return address, nil
		}
	}
}
