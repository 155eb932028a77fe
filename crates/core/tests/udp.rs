//! UDP flows, which have no recognisable first packet.

mod common;

use common::{Fabric, datagram, ms, row};
use sequoiatrail_core::{CoreConfig, Event};
use sequoiatrail_table::{Row, TargetState};
use sequoiatrail_types::{Protocol, TargetId};

const A: TargetId = TargetId(0);

fn rows(n: u8) -> Vec<Row> {
    (0..n).map(|t| row(t, Protocol::Udp)).collect()
}

fn fabric(seed: u64) -> Fabric {
    Fabric::with(4, rows(3), seed, CoreConfig::default())
}

fn send(f: &mut Fabric, clients: std::ops::Range<u32>, packets: u32) {
    for _ in 0..packets {
        for client in clients.clone() {
            f.spray(datagram(client));
        }
        f.run(ms(20));
    }
}

#[test]
fn flows_keep_their_target_through_moves_between_working_targets() {
    for seed in 0..5 {
        let mut f = fabric(seed);
        send(&mut f, 0..300, 2);
        f.move_buckets(64, TargetId(1));
        for step in 0..20 {
            send(&mut f, 0..300 + 20 * step, 1);
            f.run(ms(500));
        }
        assert_eq!(f.open_buckets(), 0);
        send(&mut f, 0..680, 4);
        for client in 0..680 {
            assert_eq!(f.targets(client).len(), 1, "client {client} seed {seed}");
        }
    }
}

#[test]
fn stopped_target_keeps_its_flows_and_gets_no_new_one() {
    // Also while no new plan is available.
    for (seed, planned) in [(0, true), (1, true), (2, false), (3, false)] {
        let mut f = fabric(seed);
        send(&mut f, 0..200, 1);
        let mut rows = rows(3);
        rows[0].state = TargetState::Stopped;
        let table = f.edit(&rows);
        f.deliver_to_all(&Event::Table(table));
        f.run(ms(400));
        if planned {
            let plan = f.replan();
            f.deliver_to_all(&Event::Plan(plan));
        }
        f.run(ms(2_600));
        for step in 0..10 {
            send(&mut f, 0..200, 1);
            let from = 200 + 20 * step;
            send(&mut f, from..from + 20, 3);
            f.run(ms(500));
        }
        for client in 0..400 {
            let targets = f.targets(client);
            assert_eq!(targets.len(), 1, "client {client} seed {seed}");
            assert!(
                client < 200 || targets != [A],
                "client {client} seed {seed}"
            );
        }
    }
}
