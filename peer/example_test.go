package peer_test

import (
	"context"
	"fmt"
	"net"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

func Example() {
	key, clock := []byte("the key that all hosts share"), clockwork.NewRealClock()
	server := peer.NewNode(peer.Config{Host: "entry-1", Key: key, Clock: clock},
		func(from string, _ peer.Message, reply peer.Reply) {
			fmt.Println("asked by", from)
			reply(peer.VersionsResponse{FleetVersion: 3})
		})
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = server.ServeConn(conn)
		}
	}()

	client := peer.NewNode(peer.Config{Host: "entry-2", Key: key, Clock: clock}, nil)
	defer client.Close()
	response, err := client.Call(context.Background(), listener.Addr().String(), peer.VersionsRequest{})
	fmt.Println(response.(peer.VersionsResponse).FleetVersion, err)
	// Output:
	// asked by entry-2
	// 3 <nil>
}
