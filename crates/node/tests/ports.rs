//! Binding of TCP and UDP to one port.

use std::net;

use rhubarb_node::server;

const BOUND_UDP_PORTS: usize = 400;
const BIND_ROUNDS: usize = 300;

#[tokio::test]
async fn same_port() {
    // With this many UDP ports in use, TCP is sometimes assigned one of them, and the bind must
    // try another port.
    let local = (net::Ipv4Addr::LOCALHOST, 0);
    let bound: Vec<_> =
        (0..BOUND_UDP_PORTS).map(|_| net::UdpSocket::bind(local).unwrap()).collect();
    for _ in 0..BIND_ROUNDS {
        let (tcp, udp) = server::bind_tcp_and_udp(local.into()).await.unwrap();
        assert_eq!(tcp.local_addr().unwrap(), udp.local_addr().unwrap());
    }
    drop(bound);
}

#[tokio::test]
async fn taken_port() {
    let bound = net::UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let err = server::bind_tcp_and_udp(bound.local_addr().unwrap()).await.unwrap_err();
    assert!(err.to_string().contains("choose a free"), "{err}");
}
