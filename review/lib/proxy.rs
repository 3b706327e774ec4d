//! A proxy on loopback between callers and an entry, which can break connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

use super::record;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<[TcpStream; 2]>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let proxy = Proxy { address: listener.local_addr().unwrap(), open: Arc::default() };
        let open = proxy.open.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(entry) = TcpStream::connect(target) else { continue };
                let copies = (caller.try_clone().unwrap(), entry.try_clone().unwrap());
                open.lock().unwrap().push([copies.0, copies.1]);
                for (mut from, mut to) in [
                    (caller.try_clone().unwrap(), entry.try_clone().unwrap()),
                    (entry.try_clone().unwrap(), caller.try_clone().unwrap()),
                ] {
                    let _ = to.set_nodelay(true);
                    thread::spawn(move || {
                        let mut buffer = [0; 16 * 1024];
                        while let Ok(length @ 1..) = from.read(&mut buffer) {
                            if to.write_all(&buffer[..length]).is_err() {
                                break;
                            }
                        }
                        let _ = to.shutdown(Shutdown::Write);
                    });
                }
            }
        });
        proxy
    }

    /// Breaks the first `count` connections, in both directions.
    pub fn break_connections(&self, count: usize) {
        let open: Vec<_> = {
            let mut open = self.open.lock().unwrap();
            let count = count.min(open.len());
            open.drain(..count).collect()
        };
        record::line(&format!("proxy: {} connections broken", open.len()));
        for pair in open {
            for stream in pair {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}
