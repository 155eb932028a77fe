//! What targets are worth by reports and counts.

mod common;

use common::{World, balancers, edit, secs, table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_health::{Health, HealthSettings, Load, LoadSettings};
use sequoiatrail_plan::{Factor, Factors};
use sequoiatrail_table::{Table, TargetState};
use sequoiatrail_types::{NodeId, TargetId};
use sequoiatrail_wire::message::{Observation, Share};

const ODD: TargetId = TargetId(3);

struct Case {
    load: Load,
    health: Health,
    table: Table,
}

impl Case {
    fn new(targets: u32) -> Case {
        let mut case = Case {
            load: Load::new(LoadSettings::default()),
            health: Health::new(NodeId(1), HealthSettings::default()),
            table: table(targets),
        };
        case.factors(0);
        case
    }

    fn report(&mut self, at: u64, target: TargetId, load: u16) {
        let observation = Observation {
            target,
            round: 1,
            healthy: true,
            load,
        };
        self.load.record_report(secs(at), observation);
    }

    fn count(&mut self, at: u64, from: u64, target: TargetId, open_flows: u32) {
        let share = Share {
            target,
            open_flows,
            new_flows: 0,
        };
        self.load.record_count(secs(at), NodeId(from), share);
    }

    fn factors(&mut self, at: u64) -> Factors {
        self.load.factors(secs(at), &self.table, &self.health)
    }

    fn ids(&self) -> Vec<TargetId> {
        self.table.targets.iter().map(|t| t.id).collect()
    }
}

/// 14 targets that report 500, and one of them that reports `load` each 10 s.
fn with_reports(load: u16) -> Case {
    let mut case = Case::new(14);
    for at in (10..=100).step_by(10) {
        for target in case.ids() {
            case.report(at, target, if target == ODD { load } else { 500 });
        }
    }
    case
}

#[test]
fn nothing_known_means_the_table_alone() {
    assert!(Case::new(14).factors(1_000).is_empty());
}

#[test]
fn a_target_that_claims_to_be_idle_gains_nothing() {
    assert!(with_reports(1).factors(101).is_empty());
}

#[test]
fn a_target_that_claims_to_be_full_sheds_a_bounded_part() {
    let factors = with_reports(u16::MAX).factors(101);
    let least = Factor::from_ratio(LoadSettings::default().min_report_factor);
    assert_eq!(factors.iter().collect::<Vec<_>>(), [(ODD, least)]);
}

#[test]
fn a_target_that_sheds_load_gets_less() {
    let factor = with_reports(900).factors(101).get(ODD);
    assert!(factor < Factor(800), "{factor}");
}

#[test]
fn one_report_counts_half_of_what_repeated_ones_do() {
    let mut case = with_reports(500);
    case.report(101, ODD, 1_000);
    let once = case.factors(101).get(ODD);
    let often = with_reports(1_000).factors(101).get(ODD);
    assert!(once > often, "{once} after one report, {often} after ten");
}

#[test]
fn a_report_fades_with_its_age() {
    let mut case = with_reports(1_000);
    let young = case.factors(101).get(ODD);
    let old = case.factors(150).get(ODD);
    assert!(old > young && old < Factor::ONE);
    assert!(case.factors(400).is_empty());
}

#[test]
fn reports_of_too_few_targets_are_not_compared() {
    let mut case = Case::new(14);
    case.report(1, TargetId(0), 100);
    case.report(1, ODD, 1_000);
    assert!(case.factors(1).is_empty());
}

#[test]
fn a_started_target_ramps_up_and_the_ones_of_the_first_table_are_warm() {
    let mut case = Case::new(14);
    case.table = edit(&case.table, |rows| rows.push(common::row(14, 3)));
    let settings = LoadSettings::default();
    let ramp = settings.slow_start_duration.as_secs();
    let ratio = |f: Factors| f.iter().map(|(t, f)| (t.0, f.ratio())).collect::<Vec<_>>();
    assert_eq!(ratio(case.factors(100)), [(14, settings.slow_start_factor)]);
    let middle = (1.0 + settings.slow_start_factor) / 2.0;
    assert_eq!(ratio(case.factors(100 + ramp / 2)), [(14, middle)]);
    assert_eq!(ratio(case.factors(100 + ramp)), []);
}

#[test]
fn a_target_that_is_started_again_ramps_up() {
    let mut case = Case::new(14);
    case.table = edit(&case.table, |rows| rows[3].state = TargetState::Stopped);
    case.factors(10);
    case.table = edit(&case.table, |rows| rows[3].state = TargetState::Started);
    let start = Factor::from_ratio(LoadSettings::default().slow_start_factor);
    assert_eq!(case.factors(20).get(ODD), start);
}

#[test]
fn a_target_that_is_down_gets_nothing_and_ramps_up_when_it_is_back() {
    let mut world = World::new(1, &table(14));
    let mut load = Load::new(LoadSettings::default());
    load.factors(world.now, &table(14), &world.health[0]);
    world.silent.insert(ODD);
    world.run(secs(10));
    let factors = load.factors(world.now, &table(14), &world.health[0]);
    assert_eq!(factors.iter().collect::<Vec<_>>(), [(ODD, Factor::DOWN)]);
    world.silent.clear();
    world.run(secs(20));
    let start = Factor::from_ratio(LoadSettings::default().slow_start_factor);
    assert_eq!(
        load.factors(world.now, &table(14), &world.health[0])
            .get(ODD),
        start
    );
}

#[test]
fn an_empty_target_catches_up_and_stops_near_its_share() {
    let mut case = Case::new(14);
    for (target, open) in case.ids().into_iter().zip([2_000; 14]) {
        case.count(1, 1, target, if target == ODD { 0 } else { open });
    }
    let most = Factor::from_ratio(LoadSettings::default().max_catch_up);
    assert_eq!(case.factors(2).iter().collect::<Vec<_>>(), [(ODD, most)]);
    case.count(3, 1, ODD, 1_900);
    assert!(case.factors(4).is_empty());
}

/// Three targets with a limit of 2,000 and one with a limit of 100.
fn one_small() -> Case {
    let mut case = Case::new(4);
    case.table = edit(&case.table, |rows| {
        rows.iter_mut().for_each(|r| r.max_connections = 2_000);
        rows[3].max_connections = 100;
    });
    case.factors(1);
    case
}

#[test]
fn a_full_target_keeps_little_weight_until_it_has_room_again() {
    let mut case = one_small();
    let mut at = 10;
    let mut factor = |open| {
        at += 5;
        (0..3).for_each(|t| case.count(at, 1, TargetId(t), 1_000));
        case.count(at, 1, ODD, open);
        case.factors(at).get(ODD)
    };
    let full = Factor::from_ratio(LoadSettings::default().full_factor);
    assert_eq!(
        factor(95),
        Factor::ONE,
        "near its limit it does not catch up"
    );
    assert_eq!(factor(100), full);
    assert_eq!(factor(95), full, "it does not swing about its limit");
    assert_eq!(factor(85), Factor::ONE);
}

#[test]
fn no_target_is_kept_out_for_being_full_when_the_service_is() {
    let mut case = one_small();
    (0..3).for_each(|t| case.count(10, 1, TargetId(t), 1_900));
    case.count(10, 1, ODD, 100);
    assert!(case.factors(11).is_empty());
}

#[test]
fn the_counts_of_a_balancer_that_is_gone_are_forgotten() {
    let mut case = Case::new(14);
    for target in case.ids() {
        case.count(1, 1, target, 1_000);
        case.count(50, 2, target, if target == ODD { 100 } else { 1_000 });
    }
    assert!(!case.factors(55).is_empty());
    let age = LoadSettings::default().count_ttl.as_secs();
    assert_eq!(case.factors(2 + age).get(ODD), Factor::from_ratio(2.0));
    assert!(case.factors(51 + age).is_empty());
}

#[test]
fn few_flows_are_not_compared() {
    let mut case = Case::new(14);
    for target in case.ids() {
        case.count(1, 1, target, if target == ODD { 0 } else { 20 });
    }
    assert!(case.factors(2).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn factors_stay_in_bounds_whatever_is_told(
        told in prop::collection::vec((0_u32..20, any::<u16>(), any::<u32>(), 0_u64..100), 0..200),
    ) {
        let mut case = Case::new(14);
        for (target, load, open, at) in told {
            case.report(at, TargetId(target), load);
            case.count(at, 1 + at % balancers(6).len() as u64, TargetId(target), open);
        }
        let settings = LoadSettings::default();
        for (target, factor) in case.factors(100).iter() {
            prop_assert!(case.table.target(target).is_some());
            prop_assert!(factor.ratio() >= settings.min_report_factor, "{factor}");
            prop_assert!(factor.ratio() <= settings.max_catch_up, "{factor}");
        }
    }
}
