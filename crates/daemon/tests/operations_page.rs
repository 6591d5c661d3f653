//! The page for operators has a section for each metric.

use std::collections::BTreeSet;
use std::path::Path;
use stilequay_daemon::telemetry::METRICS;

#[test]
fn each_metric_has_its_section_and_each_section_its_metric() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let sections: BTreeSet<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("### `")?.strip_suffix('`'))
        .collect();
    let metrics: BTreeSet<_> = METRICS.iter().map(|metric| metric.name).collect();
    assert_eq!(sections, metrics);
}
