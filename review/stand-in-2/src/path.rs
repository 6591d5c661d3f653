//! The path from one process to the platform, which can be cut for a while.
//!
//! During a cut, bytes that were sent are held. When it heals, they arrive at the moment at which
//! TCP sends them again, if that comes before the sender's time-out for unacknowledged data and
//! unless the sender has reset the connection. New connections of the time of the cut are dropped.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When unacknowledged data is sent again, from its first sending on; later ones come after the
/// time-out that the processes set (TCP_USER_TIMEOUT, 2.5 s).
const RETRANSMISSIONS_MS: [u64; 3] = [204, 612, 1_428];

#[derive(Debug, Default)]
struct Cut {
    is_cut: bool,
    healed_at: Option<Instant>,
}

#[derive(Debug, Clone)]
pub struct NetworkPath {
    pub address: SocketAddr,
    cut: Arc<Mutex<Cut>>,
}

impl NetworkPath {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let path = Self {
            address: listener.local_addr().expect("an address"),
            cut: Arc::default(),
        };
        let serving = path.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if serving.is_cut() {
                    continue;
                }
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                    continue;
                };
                let (there, back) = (serving.clone(), serving.clone());
                thread::spawn(move || there.copy(near, far));
                thread::spawn(move || back.copy(far_too, near_too));
            }
        });
        path
    }

    pub fn cut(&self) {
        self.cut.lock().unwrap().is_cut = true;
    }

    pub fn heal(&self) {
        let mut cut = self.cut.lock().unwrap();
        cut.is_cut = false;
        cut.healed_at = Some(Instant::now());
    }

    fn is_cut(&self) -> bool {
        self.cut.lock().unwrap().is_cut
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let count = match from.read(&mut buffer) {
                Ok(count) if count > 0 => count,
                _ => break,
            };
            if self.is_cut() && !self.hold(&from) {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        while self.is_cut() {
            thread::sleep(Duration::from_millis(1));
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    /// Waits until what was just sent arrives; returns false if it never does.
    fn hold(&self, from: &TcpStream) -> bool {
        let sent = Instant::now();
        while self.is_cut() {
            thread::sleep(Duration::from_millis(1));
        }
        let healed_at = self.cut.lock().unwrap().healed_at.unwrap_or(sent);
        let again = RETRANSMISSIONS_MS.map(|ms| sent + Duration::from_millis(ms));
        let Some(arrives) = again.into_iter().find(|at| *at >= healed_at) else {
            return false;
        };
        thread::sleep(arrives.saturating_duration_since(Instant::now()));
        // A reset shows as an error, a connection that was only closed as its end.
        let _ = from.set_nonblocking(true);
        let peeked = from.peek(&mut [0]);
        let _ = from.set_nonblocking(false);
        let is_reset = peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset);
        !is_reset
    }
}
