//! Progress of a run of known length, and figures on standard output.

use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Steps of the bar.
const STEP: Duration = Duration::from_millis(200);
const TEMPLATE: &str = "{bar:40} {elapsed_precise}";

/// A token that is cancelled after `duration`; a bar shows how far it is.
pub fn stop_after(duration: Duration) -> CancellationToken {
    let stop = CancellationToken::new();
    let timer = stop.clone();
    tokio::spawn(async move {
        let steps = duration.div_duration_f64(STEP).ceil() as u64;
        let bar = ProgressBar::new(steps);
        if let Ok(style) = ProgressStyle::with_template(TEMPLATE) {
            bar.set_style(style);
        }
        for _ in 0..steps {
            tokio::time::sleep(STEP).await;
            bar.inc(1);
        }
        bar.finish_and_clear();
        timer.cancel();
    });
    stop
}

/// Prints figures as JSON.
pub fn print<T: Serialize>(figures: &T) {
    match serde_json::to_string_pretty(figures) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the figures can't be printed: {error}"),
    }
}
