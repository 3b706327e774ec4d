//! One port number for TCP and UDP.

use std::net;

use rhubarb_node::server;

const HELD: usize = 400;
const BINDS: usize = 300;

#[tokio::test]
async fn same_port() {
    // With this many UDP ports taken, some of the ports that TCP gets are among them.
    let local = (net::Ipv4Addr::LOCALHOST, 0);
    let held: Vec<_> = (0..HELD).map(|_| net::UdpSocket::bind(local).unwrap()).collect();
    for _ in 0..BINDS {
        let (tcp, udp) = server::bind_tcp_and_udp(local.into()).await.unwrap();
        assert_eq!(tcp.local_addr().unwrap(), udp.local_addr().unwrap());
    }
    drop(held);
}

#[tokio::test]
async fn taken_port() {
    let held = net::UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    let err = server::bind_tcp_and_udp(held.local_addr().unwrap()).await.unwrap_err();
    assert!(err.to_string().contains("choose a free"), "{err}");
}
