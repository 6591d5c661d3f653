//! What the proxy has to know of a caller's statements, whatever their language.

/// Whether a statement may write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementAccess {
    /// Certainly only reads.
    Read,
    /// May write, lock or otherwise need the primary.
    Write,
}

impl StatementAccess {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Running it twice does no harm.
    Safe,
    /// It must run at most once.
    Unsafe,
}

impl Repeat {
    /// Reads `safe` or `unsafe`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "safe" => Some(Self::Safe),
            "unsafe" => Some(Self::Unsafe),
            _ => None,
        }
    }
}
