//! A small HTTP/1.1 server with kept-open connections, one thread each.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> String {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name);
        decode(value.map(|(_, value)| value).unwrap_or_default())
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3);
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8(plain).unwrap_or_default()
}

/// Status and body of an answer; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server that can be taken down: connections end and new ones are refused.
pub struct Server {
    pub address: SocketAddr,
    handler: Handler,
    running: Mutex<Option<Arc<AtomicBool>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            handler,
            running: Mutex::default(),
            open: Arc::default(),
        });
        server.serve(listener)?;
        Ok(server)
    }

    pub fn down(&self) {
        if let Some(running) = self.running.lock().unwrap().take() {
            running.store(false, Ordering::SeqCst);
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // The thread that accepts sees the flag within a few milliseconds.
        thread::sleep(Duration::from_millis(20));
    }

    pub fn up(&self) -> std::io::Result<()> {
        self.serve(TcpListener::bind(self.address)?)
    }

    fn serve(&self, listener: TcpListener) -> std::io::Result<()> {
        let running = Arc::new(AtomicBool::new(true));
        *self.running.lock().unwrap() = Some(Arc::clone(&running));
        listener.set_nonblocking(true)?;
        let handler = Arc::clone(&self.handler);
        let open = Arc::clone(&self.open);
        thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(kept) = stream.try_clone() {
                    open.lock().unwrap().push(kept);
                }
                let handler = Arc::clone(&handler);
                let running = Arc::clone(&running);
                thread::spawn(move || {
                    // The peer may end the connection at any time.
                    let _ = serve_connection(stream, &handler, &running);
                });
            }
        });
        Ok(())
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &Handler,
    running: &AtomicBool,
) -> std::io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body: String::new(),
        };
        let length = request.header("content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        request.body = String::from_utf8(body).unwrap_or_default();
        let answer = handler(request);
        let Some((status, body)) = answer.filter(|_| running.load(Ordering::SeqCst)) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        output.write_all((head + &body).as_bytes())?;
    }
}
