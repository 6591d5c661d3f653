//! The command line of `stilequayctl`.

use crate::ControlError;
use crate::connection::ConnectionFlags;
use crate::output::Format;
use getopts::{Matches, Options};
use std::path::PathBuf;
use stilequay_daemon::domain::document::ResourceKind;

/// What the operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Create or replace the resources of files.
    Apply(Vec<PathBuf>),
    /// Show resources of a kind, or one.
    Get {
        /// The kind.
        kind: ResourceKind,
        /// The name; all where absent.
        name: Option<String>,
    },
    /// Delete a resource.
    Delete {
        /// The kind.
        kind: ResourceKind,
        /// The name.
        name: String,
    },
    /// Delete the resources of files.
    DeleteFiles(Vec<PathBuf>),
    /// Show the changes of a kind as they come.
    Watch {
        /// The kind.
        kind: ResourceKind,
        /// Begin after this version.
        from: Option<u64>,
    },
    /// Show the fleet.
    Status,
    /// Show what applying files would change.
    Diff(Vec<PathBuf>),
    /// Ask what became of a change.
    Outcome(String),
    /// Compute a verifier from a password on standard input.
    Verifier,
}

/// A whole command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// The command.
    pub command: Command,
    /// Whom to ask.
    pub connection: ConnectionFlags,
    /// How to show the answer.
    pub format: Format,
}

/// What the program does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Carries out a command.
    Run(Box<Invocation>),
    /// Explains a request from logs; asks no daemon.
    Explain {
        /// The request.
        id: String,
        /// The logs.
        logs: Vec<PathBuf>,
    },
    /// Prints the help.
    Help,
    /// Prints the version.
    Version,
}

const HELP: &str = "\
stilequayctl: resources and status of a fleet of stilequayd

Usage: stilequayctl [FLAGS] COMMAND

Commands:
    apply -f FILE...        create or replace the resources of files
    get KIND [NAME]         show resources
    delete KIND NAME        delete a resource
    delete -f FILE...       delete the resources of files
    watch KIND              show changes as they come
    status                  show the fleet and its configuration
    diff -f FILE...         show what apply would change
    outcome PATH            ask what became of a change whose outcome was unknown
    explain ID LOG...       tell from logs why a request ended as it did
    verifier                read a password from standard input, print its verifier

Kinds: databasegroups, services, sessionpolicies.
Files are TOML, YAML or JSON, as their names end; - is standard input (YAML or JSON).

Examples:
    stilequayctl --server 127.0.0.1:8080 --token-file token apply -f orders.yaml
    stilequayctl get services -o yaml
    stilequayctl watch databasegroups --from 120
    echo -n 'the password' | stilequayctl verifier

Without flags the daemon and the token are read from ./stilequayctl.toml:
    server = \"127.0.0.1:8080\"
    token_file = \"token\"";

const EXIT_CODES: &str = "
Exit codes:
    0    done
    1    refused by the daemon
    2    wrong flags, settings or files
    3    the daemon can't be reached
    4    it is unknown whether a change was accepted: ask before trying again
    5    diff has found differences
";

/// The text of `--help`.
pub fn help() -> String {
    options().usage(HELP) + EXIT_CODES
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "server", "ask the daemon whose API is at URL", "URL");
    options.optopt("", "token-file", "read the bearer token from FILE", "FILE");
    options.optopt("", "config", "read server and token from FILE", "FILE");
    options.optmulti("f", "file", "resources; may be repeated", "FILE");
    options.optopt("o", "output", "table, json or yaml", "FORMAT");
    options.optopt("", "from", "watch: begin after VERSION", "VERSION");
    options.optflag("V", "version", "print the version");
    options.optflag("h", "help", "print this help");
    options
}

/// Reads the command line, without the program's name.
pub fn parse(arguments: &[String]) -> Result<Request, ControlError> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| ControlError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Request::Help);
    }
    if matches.opt_present("version") {
        return Ok(Request::Version);
    }
    if let Some(("explain", arguments)) = split_first(&matches.free) {
        return explain(arguments);
    }
    let format = match matches.opt_str("output") {
        None => Format::Table,
        Some(name) => Format::from_name(&name)
            .ok_or_else(|| usage(format!("unknown output format: {name}")))?,
    };
    Ok(Request::Run(Box::new(Invocation {
        command: command(&matches)?,
        connection: ConnectionFlags {
            config: matches.opt_str("config").map(PathBuf::from),
            server: matches.opt_str("server"),
            token_file: matches.opt_str("token-file").map(PathBuf::from),
        },
        format,
    })))
}

fn split_first(words: &[String]) -> Option<(&str, &[String])> {
    let (first, rest) = words.split_first()?;
    Some((first, rest))
}

fn explain(arguments: &[String]) -> Result<Request, ControlError> {
    match arguments {
        [id, logs @ ..] if !logs.is_empty() => Ok(Request::Explain {
            id: id.clone(),
            logs: logs.iter().map(PathBuf::from).collect(),
        }),
        _ => Err(usage("wrong arguments of explain")),
    }
}

fn command(matches: &Matches) -> Result<Command, ControlError> {
    let words: Vec<_> = matches.free.iter().map(String::as_str).collect();
    let files: Vec<_> = matches
        .opt_strs("file")
        .into_iter()
        .map(PathBuf::from)
        .collect();
    match words.as_slice() {
        [] => Err(usage("no command is given")),
        ["apply"] => Ok(Command::Apply(some(files)?)),
        ["diff"] => Ok(Command::Diff(some(files)?)),
        ["delete"] => Ok(Command::DeleteFiles(some(files)?)),
        ["delete", kind, name] => Ok(Command::Delete {
            kind: parse_kind(kind)?,
            name: (*name).to_owned(),
        }),
        ["get", kind] => Ok(Command::Get {
            kind: parse_kind(kind)?,
            name: None,
        }),
        ["get", kind, name] => Ok(Command::Get {
            kind: parse_kind(kind)?,
            name: Some((*name).to_owned()),
        }),
        ["watch", kind] => Ok(Command::Watch {
            kind: parse_kind(kind)?,
            from: from(matches)?,
        }),
        ["status"] => Ok(Command::Status),
        ["outcome", path] => Ok(Command::Outcome((*path).to_owned())),
        ["verifier"] => Ok(Command::Verifier),
        [
            known @ ("apply" | "diff" | "delete" | "get" | "watch" | "status" | "outcome"
            | "verifier"),
            ..,
        ] => Err(usage(format!("wrong arguments of {known}"))),
        [unknown, ..] => Err(usage(format!("unknown command: {unknown}"))),
    }
}

fn some(files: Vec<PathBuf>) -> Result<Vec<PathBuf>, ControlError> {
    match files.is_empty() {
        true => Err(usage("no file is given: use -f FILE")),
        false => Ok(files),
    }
}

fn parse_kind(name: &str) -> Result<ResourceKind, ControlError> {
    ResourceKind::from_any_name(name).ok_or_else(|| usage(format!("unknown kind: {name}")))
}

fn from(matches: &Matches) -> Result<Option<u64>, ControlError> {
    let Some(text) = matches.opt_str("from") else {
        return Ok(None);
    };
    let version = text.parse();
    version
        .map(Some)
        .map_err(|_| usage(format!("no version: {text}")))
}

fn usage(reason: impl Into<String>) -> ControlError {
    ControlError::Usage(reason.into())
}
