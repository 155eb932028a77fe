//! Compares balancing by table weight alone with load reports and flow counts, for
//! reports delayed by 10 s, a slow target and a target that reports a false load.
//!
//! `cargo run --release -p sequoiatrail-health --example compare_balance`

mod world;

use sequoiatrail_health::LoadSettings;
use world::{Scenario, World};

/// Simulated seconds per run.
const DURATION_S: u32 = 1_800;
/// Seconds after which a run is considered in steady state.
const WARM_UP_S: u32 = 600;
const SEEDS: u64 = 5;

fn main() {
    println!(
        "| scenario | spread by | imbalance, mean | imbalance, worst | 60 s after | overload, mean | plans | moved |"
    );
    println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    for scenario in scenarios() {
        for (name, load) in policies() {
            print_case(scenario, name, load);
        }
    }
}

fn policies() -> Vec<(&'static str, Option<LoadSettings>)> {
    let default = LoadSettings::default();
    let no_counts = LoadSettings {
        max_catch_up: 1.0,
        ..default
    };
    let by_reports = LoadSettings {
        report_exponent: 1.0,
        report_gain: 1.0,
        min_report_factor: 0.05,
        max_report_factor: 20.0,
        ..no_counts
    };
    let both_ways = LoadSettings {
        max_report_factor: 1.25,
        ..default
    };
    let fast = LoadSettings {
        max_catch_up: 4.0,
        ..default
    };
    vec![
        ("weight", None),
        ("reports, unbounded", Some(by_reports)),
        ("reports to 1", Some(no_counts)),
        ("reports to 1.25, catch up to 2", Some(both_ways)),
        ("reports to 1, catch up to 4", Some(fast)),
        ("reports to 1, catch up to 2", Some(default)),
    ]
}

fn scenarios() -> Vec<Scenario> {
    let streams = Scenario {
        name: "14 targets, streams of 2 h",
        targets: 14,
        flows: 2_000,
        mean_lifetime_s: 7_200.0,
        capacity: 1.0,
        false_report: None,
        returning: 0,
    };
    let downloads = Scenario {
        name: "4 targets, downloads of 20 s",
        targets: 4,
        mean_lifetime_s: 20.0,
        ..streams
    };
    vec![
        streams,
        Scenario {
            name: "streams, one returns empty",
            returning: 1,
            ..streams
        },
        Scenario {
            name: "streams, two return empty",
            returning: 2,
            ..streams
        },
        Scenario {
            name: "streams, three return empty",
            returning: 3,
            ..streams
        },
        Scenario {
            name: "streams, one claims idle",
            false_report: Some(1),
            ..streams
        },
        Scenario {
            name: "streams, one claims full",
            false_report: Some(1_000),
            ..streams
        },
        downloads,
        Scenario {
            name: "downloads, one of half capacity",
            capacity: 0.5,
            ..downloads
        },
        Scenario {
            name: "downloads, one claims idle",
            false_report: Some(1),
            ..downloads
        },
        Scenario {
            name: "downloads, one claims full",
            false_report: Some(1_000),
            ..downloads
        },
        Scenario {
            name: "downloads, one returns empty",
            returning: 1,
            ..downloads
        },
    ]
}

fn print_case(scenario: Scenario, name: &str, load: Option<LoadSettings>) {
    let (mut sum, mut worst, mut after_60_s, mut overload) = (0.0, 0.0_f64, 0.0_f64, 0.0);
    let (mut plans, mut moved) = (0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(scenario, load, seed);
        for second in 1..=DURATION_S {
            world.step();
            if second == 120 {
                after_60_s = after_60_s.max(world.imbalance());
            }
            if second > WARM_UP_S {
                sum += world.imbalance();
                worst = worst.max(world.imbalance());
                overload += world.overload();
            }
        }
        plans += world.changes;
        moved += world.moved;
    }
    let steps = SEEDS as f64 * f64::from(DURATION_S - WARM_UP_S);
    let mean = sum / steps;
    let overload = overload / steps;
    let plans = f64::from(plans) / SEEDS as f64;
    let moved = 100.0 * moved as f64 / SEEDS as f64 / 1_024.0;
    println!(
        "| {} | {name} | {mean:.3} | {worst:.3} | {after_60_s:.3} | {overload:.3} | {plans:.1} | {moved:.1}% |",
        scenario.name
    );
}
