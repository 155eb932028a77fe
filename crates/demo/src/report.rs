//! Results of the demonstration.

use std::fmt;

use crate::{Move, Totals};

/// Max moved flows that are listed.
const SHOWN_MOVES: usize = 10;

/// A target at the end of the run.
#[derive(Clone, Debug)]
pub struct TargetLine {
    /// Service and name.
    pub name: String,
    /// Flows that reached it.
    pub flows: usize,
    /// Packets that it received.
    pub packets: u64,
    /// New flows while all targets were started, relative to its weighted share.
    pub imbalance: f64,
}

/// A balancer at the end of the run.
#[derive(Clone, Debug)]
pub struct BalancerLine {
    /// Name of its VM.
    pub name: String,
    /// Version of the table in use.
    pub table: u64,
    /// Version of the plan of each service.
    pub plans: Vec<u64>,
    /// Entries in its flow table.
    pub flows: usize,
    /// Packets that it sent to targets.
    pub forwarded: u64,
    /// Packets that it relayed to other balancers.
    pub relayed: u64,
}

/// Results of the demonstration.
#[derive(Clone, Debug)]
pub struct Report {
    /// Totals of the ledger.
    pub totals: Totals,
    /// The flows that moved.
    pub moves: Vec<Move>,
    /// Packets that the clients sent.
    pub sent: u64,
    /// Responses that refused or reset a flow.
    pub refused: u64,
    /// New flows at the stopped target after the deadline.
    pub late_flows: usize,
    /// Time until all balancers applied the stop of the target, in milliseconds.
    pub in_force_ms: u128,
    /// The targets.
    pub targets: Vec<TargetLine>,
    /// The balancers still running at the end.
    pub balancers: Vec<BalancerLine>,
}

impl Report {
    /// Whether no flow broke, no packet was misdelivered and the stopped target got no
    /// late flow.
    pub fn passed(&self) -> bool {
        self.totals.broken() == 0 && self.totals.misdelivered == 0 && self.late_flows == 0
    }

    /// Largest share of new flows relative to the weighted share, over all targets.
    pub fn imbalance(&self) -> f64 {
        self.targets.iter().map(|t| t.imbalance).fold(0.0, f64::max)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "target                   flows  packets  new flows/share"
        )?;
        for t in &self.targets {
            let (name, flows, packets, imbalance) = (&t.name, t.flows, t.packets, t.imbalance);
            writeln!(f, "{name:22} {flows:7} {packets:8} {imbalance:16.3}")?;
        }
        writeln!(f)?;
        writeln!(
            f,
            "balancer  table  plans    known flows  forwarded  relayed"
        )?;
        for b in &self.balancers {
            let plans: Vec<String> = b.plans.iter().map(u64::to_string).collect();
            writeln!(
                f,
                "{:8} {:6}  {:7} {:12} {:10} {:8}",
                b.name,
                b.table,
                plans.join(","),
                b.flows,
                b.forwarded,
                b.relayed
            )?;
        }
        writeln!(f)?;
        let t = &self.totals;
        writeln!(f, "flows opened                        {}", t.flows)?;
        writeln!(f, "broken flows                        {}", t.broken())?;
        writeln!(f, "  moved to another target           {}", t.moved)?;
        for m in self.moves.iter().take(SHOWN_MOVES) {
            let (from, to) = (&self.targets[m.from].name, &self.targets[m.to].name);
            let what = if m.opens { "first packet" } else { "packet" };
            let ms = m.age.as_millis();
            writeln!(
                f,
                "    {} of {from}: {what} at {to} after {ms} ms",
                m.flow.src
            )?;
        }
        writeln!(f, "  reset                             {}", t.reset)?;
        writeln!(f, "packets at another service          {}", t.misdelivered)?;
        writeln!(
            f,
            "packets sent / arrived              {} / {}",
            self.sent, t.packets
        )?;
        writeln!(f, "flows refused                       {}", self.refused)?;
        writeln!(
            f,
            "late new flows at the stopped target {}",
            self.late_flows
        )?;
        writeln!(
            f,
            "stop of the target in force after   {} ms",
            self.in_force_ms
        )?;
        write!(
            f,
            "imbalance of new flows              {:.3}",
            self.imbalance()
        )
    }
}
