//! Checks of values that the types of the settings don't make.

use super::{ApiSettings, LogSettings, PlatformSettings, Settings};
use crate::adapters::platform::guard::GuardSettings;
use crate::domain::fields::FieldFault;
use std::collections::BTreeSet;

/// Shortest bearer token, bytes: shorter ones can be guessed.
const MIN_TOKEN_BYTES: usize = 16;
/// Longest name of a node, zone or region, bytes.
const MAX_NAME_BYTES: usize = 63;

/// All faults of `settings`.
pub fn check(settings: &Settings) -> Vec<FieldFault> {
    let mut faults = Vec::new();
    check_name("node.id", settings.node.id.as_str(), &mut faults);
    check_name("node.zone", settings.node.zone.as_str(), &mut faults);
    check_name("node.region", settings.node.region.as_str(), &mut faults);
    check_platform(&settings.platform, &mut faults);
    check_advertised(settings, &mut faults);
    check_api(&settings.api, &mut faults);
    check_log(&settings.log, &mut faults);
    for (field, value) in settings.control.at_least_one() {
        check_positive(field, value, &mut faults);
    }
    for fault in settings.front.faults() {
        faults.push(FieldFault::new(
            format!("front.{}", fault.key),
            fault.reason,
        ));
    }
    if settings.home.mutants.any() && !settings.node.allow_mutants {
        let reason = "switches guarantees off, which needs node.allow_mutants = true";
        faults.push(FieldFault::new("home.mutants", reason));
    }
    faults
}

fn check_name(field: &str, name: &str, faults: &mut Vec<FieldFault>) {
    if name.is_empty() {
        faults.push(FieldFault::new(field, "is required"));
        return;
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    if name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        faults.push(FieldFault::new(
            field,
            format!("must have 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"),
        ));
    }
}

fn check_platform(platform: &PlatformSettings, faults: &mut Vec<FieldFault>) {
    check_url("platform.table", &platform.table, faults);
    check_url("platform.objects", &platform.objects, faults);
    check_url("platform.machines", &platform.machines, faults);
    check_positive(
        "platform.call_timeout_millis",
        platform.call_timeout_millis,
        faults,
    );
    check_guard(&platform.guard, faults);
}

fn check_guard(guard: &GuardSettings, faults: &mut Vec<FieldFault>) {
    let durations = [
        ("repeat_within_millis", guard.repeat_within_millis),
        ("shortest_pause_millis", guard.shortest_pause_millis),
        ("longest_pause_millis", guard.longest_pause_millis),
        ("circuit_open_millis", guard.circuit_open_millis),
    ];
    for (name, value) in durations {
        check_positive(&format!("platform.guard.{name}"), value, faults);
    }
}

fn check_url(field: &str, text: &str, faults: &mut Vec<FieldFault>) {
    if text.is_empty() {
        faults.push(FieldFault::new(field, "is required"));
        return;
    }
    match reqwest::Url::parse(text) {
        Ok(url) if matches!(url.scheme(), "http" | "https") && url.has_host() => {}
        Ok(_) => faults.push(FieldFault::new(field, "must be an http or https URL")),
        Err(error) => faults.push(FieldFault::new(field, format!("is no URL: {error}"))),
    }
}

/// A listener on all addresses has none that others could use.
fn check_advertised(settings: &Settings, faults: &mut Vec<FieldFault>) {
    let listen = &settings.listen;
    let advertise = &settings.advertise;
    if listen.peer.ip().is_unspecified() && advertise.peer.is_none() {
        let reason = "is required where listen.peer is on all addresses";
        faults.push(FieldFault::new("advertise.peer", reason));
    }
    if listen.control.ip().is_unspecified() && advertise.control.is_none() {
        let reason = "is required where listen.control is on all addresses";
        faults.push(FieldFault::new("advertise.control", reason));
    }
}

fn check_api(api: &ApiSettings, faults: &mut Vec<FieldFault>) {
    let mut tokens = BTreeSet::new();
    for (index, token) in api.tokens.iter().enumerate() {
        check_name(&format!("api.tokens[{index}].name"), &token.name, faults);
        let field = format!("api.tokens[{index}].token");
        if token.token.expose().len() < MIN_TOKEN_BYTES {
            let reason = format!("must have at least {MIN_TOKEN_BYTES} bytes");
            faults.push(FieldFault::new(field, reason));
        } else if !tokens.insert(token.token.expose()) {
            faults.push(FieldFault::new(field, "stands twice"));
        }
    }
    check_positive("api.max_body_bytes", api.max_body_bytes as u64, faults);
    check_positive("api.watch_history", api.watch_history as u64, faults);
    check_positive(
        "api.bookmark_interval_millis",
        api.bookmark_interval_millis,
        faults,
    );
    check_positive(
        "api.request_timeout_millis",
        api.request_timeout_millis,
        faults,
    );
}

fn check_log(log: &LogSettings, faults: &mut Vec<FieldFault>) {
    if log.targets.contains_key("") {
        faults.push(FieldFault::new("log.targets", "has an empty target"));
    }
}

fn check_positive(field: &str, value: u64, faults: &mut Vec<FieldFault>) {
    if value == 0 {
        faults.push(FieldFault::new(field, "must be at least 1"));
    }
}
