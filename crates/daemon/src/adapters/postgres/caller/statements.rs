//! A caller's prepared statements and portals, kept at the front so that
//! back-end connections can be shared.

use crate::adapters::postgres::classify::Classification;
use crate::domain::exchange::PreparedStatement;
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// A statement that a caller prepared.
#[derive(Debug)]
pub(super) struct KnownStatement {
    pub(super) prepared: PreparedStatement,
    pub(super) classification: Arc<Classification>,
}

impl KnownStatement {
    pub(super) fn new(
        text: String,
        parameter_types: Vec<u32>,
        classification: Arc<Classification>,
    ) -> Self {
        Self {
            prepared: PreparedStatement {
                name: content_name(&text, &parameter_types),
                text,
                parameter_types,
            },
            classification,
        }
    }
}

/// A name by content: the same statement has the same name for all callers.
fn content_name(text: &str, parameter_types: &[u32]) -> String {
    let mut hasher = Xxh3::new();
    hasher.update(text.as_bytes());
    // A text holds no zero byte, so that the types can't be taken for a part of it.
    hasher.update(&[0]);
    for parameter_type in parameter_types {
        hasher.update(&parameter_type.to_be_bytes());
    }
    format!("stilequay_{:032x}", hasher.digest128())
}

/// The statements and portals of one caller; the empty name is the unnamed one.
#[derive(Debug, Default)]
pub(super) struct StatementStore {
    statements: HashMap<String, Arc<KnownStatement>>,
    portals: HashMap<String, Arc<KnownStatement>>,
}

/// How to take back a change of a name whose message was never answered.
#[derive(Debug, Clone)]
pub(super) struct Undo {
    name: String,
    previous: Option<Arc<KnownStatement>>,
}

impl StatementStore {
    /// The statement of this name.
    pub(super) fn statement(&self, name: &str) -> Option<&Arc<KnownStatement>> {
        self.statements.get(name)
    }

    /// Number of statements.
    pub(super) fn len(&self) -> usize {
        self.statements.len()
    }

    /// Gives a name to a statement.
    pub(super) fn define(&mut self, name: String, statement: Arc<KnownStatement>) -> Undo {
        let previous = self.statements.insert(name.clone(), statement);
        Undo { name, previous }
    }

    /// Frees a name.
    pub(super) fn forget(&mut self, name: String) -> Undo {
        let previous = self.statements.remove(&name);
        Undo { name, previous }
    }

    /// Takes back a change.
    pub(super) fn undo(&mut self, undo: Undo) {
        match undo.previous {
            Some(statement) => self.statements.insert(undo.name, statement),
            None => self.statements.remove(&undo.name),
        };
    }

    /// The statement that a portal was bound to.
    pub(super) fn portal(&self, name: &str) -> Option<&Arc<KnownStatement>> {
        self.portals.get(name)
    }

    /// Binds a portal to a statement, or to one that the front does not know.
    pub(super) fn bind_portal(&mut self, name: String, statement: Option<Arc<KnownStatement>>) {
        match statement {
            Some(statement) => self.portals.insert(name, statement),
            None => self.portals.remove(&name),
        };
    }

    /// Forgets all portals, as the end of a transaction does.
    pub(super) fn forget_portals(&mut self) {
        self.portals = HashMap::new();
    }
}
