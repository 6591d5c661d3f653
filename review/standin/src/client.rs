//! A client's session.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Complete {
        rows: Vec<String>,
        signature: String,
    },
    Error(String),
    /// The connection ended, or nothing came in time.
    Missing,
}

pub struct Session {
    input: BufReader<TcpStream>,
    output: TcpStream,
    /// State of the session in the last READY.
    pub state: String,
}

impl Session {
    /// Opens a session on `database`; `None` if it isn't served.
    pub fn open(address: SocketAddr, database: &str, patience: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        let mut session = Self {
            output: stream.try_clone().ok()?,
            input: BufReader::new(stream),
            state: String::new(),
        };
        session.send(&format!("STARTUP {database} u1"))?;
        let greeting = session.line()?;
        session.state = greeting
            .strip_prefix("READY ")?
            .split(' ')
            .next()?
            .to_owned();
        Some(session)
    }

    pub fn send(&mut self, line: &str) -> Option<()> {
        self.output.write_all(format!("{line}\r\n").as_bytes()).ok()
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.input.read_line(&mut line).ok()?;
        (count > 0 && line.ends_with("\r\n")).then(|| line.trim_end().to_owned())
    }

    pub fn ask(&mut self, id: &str, text: &str) -> Answer {
        match self.send(&format!("QUERY {id} {text}")) {
            Some(()) => self.answer(),
            None => Answer::Missing,
        }
    }

    pub fn answer(&mut self) -> Answer {
        let mut rows = Vec::new();
        let mut answer = Answer::Missing;
        loop {
            let Some(line) = self.line() else {
                return Answer::Missing;
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => {
                    answer = Answer::Complete {
                        rows: std::mem::take(&mut rows),
                        signature: rest.to_owned(),
                    };
                }
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or(rest);
                    answer = Answer::Error(code.to_owned());
                }
                "READY" => {
                    self.state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return answer;
                }
                _ => return Answer::Missing,
            }
        }
    }

    /// Ends the session after its work is done.
    pub fn end(mut self) {
        // The process may have closed it already.
        let _ = self.send("TERMINATE");
    }
}
