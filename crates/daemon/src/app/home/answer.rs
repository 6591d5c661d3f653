//! Collects a unit's answer into chunks, and holds back what tells of a commit.

use crate::ports::back_end::CommandEnd;
use bytes::BytesMut;

/// Size from which a chunk is forwarded.
const CHUNK_BYTES: usize = 32 << 10;

/// The part of an answer that has not been forwarded.
#[derive(Debug)]
pub struct AnswerBuffer {
    /// Whether everything from the first completed command on is held back.
    holds_back: bool,
    forwardable: BytesMut,
    held_back: BytesMut,
    has_forwarded: bool,
    commands: Commands,
}

/// What the completed commands of an answer tell.
#[derive(Debug, Default)]
struct Commands {
    completed: bool,
    committed: bool,
    only_rolled_back: bool,
}

impl AnswerBuffer {
    /// An empty answer of a unit that may write, or of one that only reads.
    pub fn new(may_write: bool) -> Self {
        Self {
            holds_back: may_write,
            forwardable: BytesMut::new(),
            held_back: BytesMut::new(),
            has_forwarded: false,
            commands: Commands {
                only_rolled_back: true,
                ..Commands::default()
            },
        }
    }

    /// Adds a part, with which a command may have completed.
    pub fn push(&mut self, payload: &[u8], command: Option<CommandEnd>) {
        if let Some(command) = command {
            self.commands.note(command);
        }
        let holds = self.holds_back && self.commands.completed;
        let buffer = if holds {
            &mut self.held_back
        } else {
            &mut self.forwardable
        };
        buffer.extend_from_slice(payload);
    }

    /// Whether there is enough to forward.
    pub fn is_chunk_full(&self) -> bool {
        self.forwardable.len() >= CHUNK_BYTES
    }

    /// Takes what the caller may see now, if there is anything.
    pub fn take_forwardable(&mut self) -> Option<BytesMut> {
        if self.forwardable.is_empty() {
            return None;
        }
        self.has_forwarded = true;
        Some(self.forwardable.split())
    }

    /// Whether a part has been taken to be forwarded.
    pub fn has_forwarded(&self) -> bool {
        self.has_forwarded
    }

    /// Bytes held back.
    pub fn held_back_len(&self) -> usize {
        self.held_back.len()
    }

    /// Takes all that has not been forwarded.
    pub fn take_rest(&mut self) -> BytesMut {
        let mut rest = self.forwardable.split();
        rest.unsplit(self.held_back.split());
        rest
    }

    /// Whether a command has completed.
    pub fn completed_command(&self) -> bool {
        self.commands.completed
    }

    /// Whether a command ended a transaction by committing it.
    pub fn committed_inside(&self) -> bool {
        self.commands.committed
    }

    /// Whether every completed command was a rollback.
    pub fn rolled_back(&self) -> bool {
        self.commands.completed && self.commands.only_rolled_back
    }
}

impl Commands {
    fn note(&mut self, command: CommandEnd) {
        self.completed = true;
        self.committed |= command == CommandEnd::Committed;
        self.only_rolled_back &= command == CommandEnd::RolledBack;
    }
}
