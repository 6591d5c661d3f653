//! Checks of resources that their types don't make.

use super::fields::FieldFault;
use super::resource::{DatabaseGroupSpec, GroupMemberSpec, ServiceSpec, SessionPolicySpec};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Longest name, bytes: PostgreSQL's own limit for identifiers.
const MAX_NAME_BYTES: usize = 63;
/// Most labels of a resource.
const MAX_LABELS: usize = 32;
/// Longest key or value of a label, bytes.
const MAX_LABEL_BYTES: usize = 128;
/// Most members of a group.
const MAX_MEMBERS: usize = 15;
/// Least iterations of a SCRAM verifier (RFC 7677).
const MIN_SCRAM_ITERATIONS: u32 = 4_096;
/// Most iterations: more would let one login hold up a client for seconds.
const MAX_SCRAM_ITERATIONS: u32 = 1_000_000;
/// Length of a SCRAM-SHA-256 key, bytes.
const SCRAM_KEY_BYTES: usize = 32;

/// Faults of a resource's name: lower-case letters, digits, `-` and `_`.
pub fn check_name(field: &str, name: &str) -> Option<FieldFault> {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_')
    };
    let well_formed = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(allowed)
        && name.starts_with(|first: char| first.is_ascii_alphanumeric());
    (!well_formed).then(|| {
        let reason = format!(
            "must have 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '_', and begin with a letter or digit"
        );
        FieldFault::new(field, reason)
    })
}

/// Faults of labels.
pub fn check_labels(labels: &BTreeMap<String, String>) -> Vec<FieldFault> {
    let mut faults = Vec::new();
    if labels.len() > MAX_LABELS {
        let reason = format!("must be at most {MAX_LABELS}");
        faults.push(FieldFault::new("metadata.labels", reason));
    }
    for (key, value) in labels {
        if key.is_empty() || key.len() > MAX_LABEL_BYTES || value.len() > MAX_LABEL_BYTES {
            let reason = format!("must have at most {MAX_LABEL_BYTES} bytes, and a key");
            faults.push(FieldFault::new(format!("metadata.labels.{key}"), reason));
        }
    }
    faults
}

/// Faults of a database group.
pub fn check_group(spec: &DatabaseGroupSpec) -> Vec<FieldFault> {
    let mut faults = Vec::new();
    if spec.members.is_empty() || spec.members.len() > MAX_MEMBERS {
        let reason = format!("must be 1 to {MAX_MEMBERS}");
        faults.push(FieldFault::new("members", reason));
    }
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for (index, member) in spec.members.iter().enumerate() {
        check_member(index, member, &mut faults);
        if !names.insert(member.name.as_str()) {
            faults.push(FieldFault::new(
                format!("members[{index}].name"),
                "stands twice",
            ));
        }
        if !addresses.insert(member.address.as_str()) {
            faults.push(FieldFault::new(
                format!("members[{index}].address"),
                "stands twice",
            ));
        }
    }
    check_filled("database", &spec.database, &mut faults);
    check_filled("user", &spec.user, &mut faults);
    check_at_least_one(
        "connectionsPerMember",
        spec.connections_per_member.into(),
        &mut faults,
    );
    check_at_least_one(
        "probeIntervalMillis",
        spec.probe_interval_millis,
        &mut faults,
    );
    faults
}

fn check_member(index: usize, member: &GroupMemberSpec, faults: &mut Vec<FieldFault>) {
    faults.extend(check_name(
        &format!("members[{index}].name"),
        member.name.as_str(),
    ));
    if member.address.parse::<SocketAddr>().is_err() {
        let field = format!("members[{index}].address");
        faults.push(FieldFault::new(field, "must be ip:port"));
    }
    check_filled(
        &format!("members[{index}].zone"),
        member.zone.as_str(),
        faults,
    );
}

/// Faults of a service.
pub fn check_service(spec: &ServiceSpec) -> Vec<FieldFault> {
    let mut faults = Vec::new();
    if let Err(reason) = check_verifier(spec.verifier.expose()) {
        faults.push(FieldFault::new("verifier", reason));
    }
    for (index, group) in spec.groups.iter().enumerate() {
        faults.extend(check_name(&format!("groups[{index}]"), group.as_str()));
    }
    if let Some(policy) = &spec.policy {
        faults.extend(check_name("policy", policy.as_str()));
    }
    check_at_least_one("maxConnections", spec.max_connections.into(), &mut faults);
    check_at_least_one("maxInFlight", spec.max_in_flight.into(), &mut faults);
    faults
}

/// Faults of a session policy.
pub fn check_policy(spec: &SessionPolicySpec) -> Vec<FieldFault> {
    let mut faults = Vec::new();
    check_at_least_one(
        "requestTimeoutMillis",
        spec.request_timeout_millis,
        &mut faults,
    );
    faults
}

fn check_filled(field: &str, text: &str, faults: &mut Vec<FieldFault>) {
    if text.is_empty() {
        faults.push(FieldFault::new(field, "must not be empty"));
    }
}

fn check_at_least_one(field: &str, number: u64, faults: &mut Vec<FieldFault>) {
    if number == 0 {
        faults.push(FieldFault::new(field, "must be at least 1"));
    }
}

/// Checks the form of a verifier; the reason doesn't show any part of it.
fn check_verifier(verifier: &str) -> Result<(), &'static str> {
    const FORM: &str = "must be SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>";
    let rest = verifier.strip_prefix("SCRAM-SHA-256$").ok_or(FORM)?;
    let (head, keys) = rest.split_once('$').ok_or(FORM)?;
    let (iterations, salt) = head.split_once(':').ok_or(FORM)?;
    let (stored_key, server_key) = keys.split_once(':').ok_or(FORM)?;
    let iterations: u32 = iterations.parse().map_err(|_| FORM)?;
    if !(MIN_SCRAM_ITERATIONS..=MAX_SCRAM_ITERATIONS).contains(&iterations) {
        return Err("must have 4096 to 1000000 iterations");
    }
    if STANDARD.decode(salt).map_err(|_| FORM)?.is_empty() {
        return Err("must have a salt");
    }
    for key in [stored_key, server_key] {
        if STANDARD.decode(key).map_err(|_| FORM)?.len() != SCRAM_KEY_BYTES {
            return Err("must have keys of 32 bytes, in base64");
        }
    }
    Ok(())
}
