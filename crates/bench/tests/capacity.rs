//! The fits behind docs/CAPACITY.md.

use rstest::rstest;
use stilequay_bench::capacity::{Fit, Point, Shape};

const SIZES: [f64; 4] = [250.0, 500.0, 1_000.0, 2_000.0];

fn points(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|daemons| Point {
            daemons: *daemons,
            cost: cost(*daemons),
        })
        .collect()
}

#[rstest]
#[case::constant(points(|_| 5.0), 6_100.0, 5.0)]
#[case::linear(points(|daemons| 3.0 + daemons / 100.0), 6_100.0, 64.0)]
#[case::logarithm(points(|daemons| 1.0 + daemons.log2()), 8_192.0, 14.0)]
fn the_better_fit_finds_the_cost_at_the_target(
    #[case] points: Vec<Point>,
    #[case] daemons: f64,
    #[case] expected: f64,
) {
    let fit = Fit::best(&points).expect("there are several sizes");
    assert!((fit.at(daemons) - expected).abs() < 1e-6, "{fit:?}");
    assert!(fit.error < 1e-6, "{fit:?}");
}

#[test]
fn a_linear_cost_reaches_a_limit_at_the_size_that_the_line_says() {
    let fit = Fit::new(Shape::Linear, &points(|daemons| 2.0 * daemons)).expect("it fits");
    let size = fit.reaches(10_000.0).expect("it grows");
    assert!((size - 5_000.0).abs() < 1e-6);
}

#[test]
fn a_cost_that_falls_is_not_extrapolated_below_what_was_measured() {
    let falling = points(|daemons| 10.0 - daemons / 1_000.0);
    assert_eq!(Fit::expected(&falling, 6_100.0), Some(9.75));
}

#[test]
fn one_size_is_no_slope() {
    assert_eq!(Fit::best(&points(|daemons| daemons)[..1]), None);
}
