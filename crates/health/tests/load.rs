//! Tests of the factors computed from load reports and flow counts.

mod common;

use common::{World, balancers, edit, secs, table};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sequoiatrail_health::{Health, HealthSettings, Load, LoadSettings};
use sequoiatrail_plan::{Factor, Factors};
use sequoiatrail_table::{Table, TargetState};
use sequoiatrail_types::{NodeId, TargetId};
use sequoiatrail_wire::message::{Observation, Share};

const OUTLIER: TargetId = TargetId(3);

struct Fixture {
    load: Load,
    health: Health,
    table: Table,
}

impl Fixture {
    fn new(targets: u32) -> Fixture {
        let mut fixture = Fixture {
            load: Load::new(LoadSettings::default()),
            health: Health::new(NodeId(1), HealthSettings::default()),
            table: table(targets),
        };
        fixture.factors(0);
        fixture
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

    fn set_count(&mut self, at: u64, from: u64, target: TargetId, open_flows: u32) {
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

/// 14 targets that report a load of 500 every 10 s, except [`OUTLIER`], which
/// reports `load`.
fn with_reports(load: u16) -> Fixture {
    let mut fixture = Fixture::new(14);
    for at in (10..=100).step_by(10) {
        for target in fixture.ids() {
            fixture.report(at, target, if target == OUTLIER { load } else { 500 });
        }
    }
    fixture
}

#[test]
fn without_reports_or_counts_all_factors_are_one() {
    assert!(Fixture::new(14).factors(1_000).is_empty());
}

#[test]
fn a_target_that_claims_to_be_idle_gains_nothing() {
    assert!(with_reports(1).factors(101).is_empty());
}

#[test]
fn a_target_that_claims_to_be_full_sheds_a_bounded_part() {
    let factors = with_reports(u16::MAX).factors(101);
    let least = Factor::from_ratio(LoadSettings::default().min_report_factor);
    assert_eq!(factors.iter().collect::<Vec<_>>(), [(OUTLIER, least)]);
}

#[test]
fn a_target_that_reports_more_load_gets_less_weight() {
    let factor = with_reports(900).factors(101).get(OUTLIER);
    assert!(factor < Factor(800), "{factor}");
}

#[test]
fn a_single_report_weighs_less_than_repeated_ones() {
    let mut fixture = with_reports(500);
    fixture.report(101, OUTLIER, 1_000);
    let once = fixture.factors(101).get(OUTLIER);
    let often = with_reports(1_000).factors(101).get(OUTLIER);
    assert!(once > often, "{once} after one report, {often} after ten");
}

#[test]
fn the_weight_of_a_report_decays_with_age() {
    let mut fixture = with_reports(1_000);
    let fresh = fixture.factors(101).get(OUTLIER);
    let old = fixture.factors(150).get(OUTLIER);
    assert!(old > fresh && old < Factor::ONE);
    assert!(fixture.factors(400).is_empty());
}

#[test]
fn reports_of_too_few_targets_are_not_compared() {
    let mut fixture = Fixture::new(14);
    fixture.report(1, TargetId(0), 100);
    fixture.report(1, OUTLIER, 1_000);
    assert!(fixture.factors(1).is_empty());
}

#[test]
fn an_added_target_slow_starts_but_those_of_the_first_table_do_not() {
    let mut fixture = Fixture::new(14);
    fixture.table = edit(&fixture.table, |rows| rows.push(common::row(14, 3)));
    let settings = LoadSettings::default();
    let ramp = settings.slow_start_duration.as_secs();
    let ratio = |f: Factors| f.iter().map(|(t, f)| (t.0, f.ratio())).collect::<Vec<_>>();
    assert_eq!(
        ratio(fixture.factors(100)),
        [(14, settings.slow_start_factor)]
    );
    let middle = (1.0 + settings.slow_start_factor) / 2.0;
    assert_eq!(ratio(fixture.factors(100 + ramp / 2)), [(14, middle)]);
    assert_eq!(ratio(fixture.factors(100 + ramp)), []);
}

#[test]
fn a_restarted_target_slow_starts() {
    let mut fixture = Fixture::new(14);
    fixture.table = edit(&fixture.table, |rows| rows[3].state = TargetState::Stopped);
    fixture.factors(10);
    fixture.table = edit(&fixture.table, |rows| rows[3].state = TargetState::Started);
    let start = Factor::from_ratio(LoadSettings::default().slow_start_factor);
    assert_eq!(fixture.factors(20).get(OUTLIER), start);
}

#[test]
fn a_down_target_has_factor_zero_and_slow_starts_after_recovery() {
    let mut world = World::new(1, &table(14));
    let mut load = Load::new(LoadSettings::default());
    load.factors(world.now, &table(14), &world.health[0]);
    world.unresponsive.insert(OUTLIER);
    world.run(secs(10));
    let factors = load.factors(world.now, &table(14), &world.health[0]);
    assert_eq!(
        factors.iter().collect::<Vec<_>>(),
        [(OUTLIER, Factor::DOWN)]
    );
    world.unresponsive.clear();
    world.run(secs(20));
    let start = Factor::from_ratio(LoadSettings::default().slow_start_factor);
    assert_eq!(
        load.factors(world.now, &table(14), &world.health[0])
            .get(OUTLIER),
        start
    );
}

#[test]
fn a_target_without_flows_catches_up_to_near_its_fair_share() {
    let mut fixture = Fixture::new(14);
    for (target, open) in fixture.ids().into_iter().zip([2_000; 14]) {
        fixture.set_count(1, 1, target, if target == OUTLIER { 0 } else { open });
    }
    let most = Factor::from_ratio(LoadSettings::default().max_catch_up);
    assert_eq!(
        fixture.factors(2).iter().collect::<Vec<_>>(),
        [(OUTLIER, most)]
    );
    fixture.set_count(3, 1, OUTLIER, 1_900);
    assert!(fixture.factors(4).is_empty());
}

/// Three targets with a connection limit of 2,000 and one with a limit of 100.
fn one_small_target() -> Fixture {
    let mut fixture = Fixture::new(4);
    fixture.table = edit(&fixture.table, |rows| {
        rows.iter_mut().for_each(|r| r.max_connections = 2_000);
        rows[3].max_connections = 100;
    });
    fixture.factors(1);
    fixture
}

#[test]
fn a_full_target_has_a_reduced_factor_until_it_has_capacity_again() {
    let mut fixture = one_small_target();
    let mut at = 10;
    let mut factor = |open| {
        at += 5;
        (0..3).for_each(|t| fixture.set_count(at, 1, TargetId(t), 1_000));
        fixture.set_count(at, 1, OUTLIER, open);
        fixture.factors(at).get(OUTLIER)
    };
    let full = Factor::from_ratio(LoadSettings::default().full_factor);
    assert_eq!(factor(95), Factor::ONE, "no catch-up near its limit");
    assert_eq!(factor(100), full);
    assert_eq!(
        factor(95),
        full,
        "hysteresis keeps it from oscillating around its limit"
    );
    assert_eq!(factor(85), Factor::ONE);
}

#[test]
fn a_full_target_keeps_its_weight_when_the_service_is_saturated() {
    let mut fixture = one_small_target();
    (0..3).for_each(|t| fixture.set_count(10, 1, TargetId(t), 1_900));
    fixture.set_count(10, 1, OUTLIER, 100);
    assert!(fixture.factors(11).is_empty());
}

#[test]
fn counts_of_a_departed_balancer_expire() {
    let mut fixture = Fixture::new(14);
    for target in fixture.ids() {
        fixture.set_count(1, 1, target, 1_000);
        fixture.set_count(50, 2, target, if target == OUTLIER { 100 } else { 1_000 });
    }
    assert!(!fixture.factors(55).is_empty());
    let age = LoadSettings::default().count_ttl.as_secs();
    assert_eq!(
        fixture.factors(2 + age).get(OUTLIER),
        Factor::from_ratio(2.0)
    );
    assert!(fixture.factors(51 + age).is_empty());
}

#[test]
fn too_few_flows_are_not_compared() {
    let mut fixture = Fixture::new(14);
    for target in fixture.ids() {
        fixture.set_count(1, 1, target, if target == OUTLIER { 0 } else { 20 });
    }
    assert!(fixture.factors(2).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn factors_stay_in_bounds_for_any_input(
        inputs in prop::collection::vec((0_u32..20, any::<u16>(), any::<u32>(), 0_u64..100), 0..200),
    ) {
        let mut fixture = Fixture::new(14);
        for (target, load, open, at) in inputs {
            fixture.report(at, TargetId(target), load);
            fixture.set_count(at, 1 + at % balancers(6).len() as u64, TargetId(target), open);
        }
        let settings = LoadSettings::default();
        for (target, factor) in fixture.factors(100).iter() {
            prop_assert!(fixture.table.target(target).is_some());
            prop_assert!(factor.ratio() >= settings.min_report_factor, "{factor}");
            prop_assert!(factor.ratio() <= settings.max_catch_up, "{factor}");
        }
    }
}
