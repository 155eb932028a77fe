//! The catalogue of events: number, name, level, fields and meaning.

use std::net::SocketAddr;

use slog::{KV, Level, Record, Serializer, Value};

use crate::define::events;

events! {
    /// The balancer runs.
    101 Info Started {
        /// Version of the program.
        version: &'static str,
        /// Identifier of this run.
        node: u64,
        /// Address that packets are received at.
        listen: SocketAddr,
        /// Threads that receive packets.
        threads: usize,
    }
    /// A key of the settings file is not known; it has no effect.
    102 Warning UnknownSetting {
        /// The file.
        file: String,
        /// The key with its section.
        key: String,
    }
    /// A graceful stop begins: peers and platform are told, packets are still forwarded.
    103 Info StopBegun {
        /// Time after which packets are no longer waited for, in milliseconds.
        limit_ms: u64,
    }
    /// The balancer has stopped.
    104 Info Stopped {
        /// Packets forwarded in its life.
        forwarded: u64,
        /// Whether the fabric had stopped sending before the limit.
        quiet: bool,
    }
    /// A thread ended with an error; the balancer stops.
    105 Error ThreadFailed {
        /// Name of the thread.
        thread: String,
        /// The error.
        error: String,
    }
    /// Log lines were dropped since the last such line, because the writer was too slow.
    106 Warning LinesDropped {
        /// Lines dropped.
        lines: u64,
    }
    /// A decision on the first packet that this balancer sees of a flow.
    201 Debug FlowPlaced {
        /// The caller.
        src: SocketAddr,
        /// The service's address.
        dst: SocketAddr,
        /// Number of the target.
        target: u32,
        /// The target's tunnel end.
        to: SocketAddr,
        /// Why this target.
        reason: &'static str,
        /// One of so many such decisions is written.
        every: u64,
    }
    /// A decision on a packet of a known flow.
    202 Trace PacketForwarded {
        /// The caller.
        src: SocketAddr,
        /// The service's address.
        dst: SocketAddr,
        /// Number of the target.
        target: u32,
        /// Why this target.
        reason: &'static str,
        /// One of so many such decisions is written.
        every: u64,
    }
    /// A packet was given to another balancer, which decides on it.
    203 Debug PacketRelayed {
        /// The caller.
        src: SocketAddr,
        /// The service's address.
        dst: SocketAddr,
        /// The other balancer.
        to: u64,
        /// What it is asked for.
        stage: String,
        /// One of so many such decisions is written.
        every: u64,
    }
    /// A packet was dropped; no data of it was passed on.
    204 Warning PacketDropped {
        /// Why.
        reason: &'static str,
        /// Who sent the datagram.
        from: SocketAddr,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// A flow was refused and the caller told so; it was surely not run.
    205 Warning FlowRefused {
        /// Why.
        reason: String,
        /// The caller.
        src: SocketAddr,
        /// The service's address.
        dst: SocketAddr,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// A flow was reset towards its caller; what it carried may have run.
    206 Warning FlowReset {
        /// The caller.
        src: SocketAddr,
        /// The service's address.
        dst: SocketAddr,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// A datagram could not be sent; the packet is lost.
    207 Warning SendFailed {
        /// Where it was to go.
        to: SocketAddr,
        /// The error.
        error: String,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// A table came into force here.
    301 Info TableInForce {
        /// Version of the table.
        version: u64,
        /// Number of services.
        services: usize,
        /// Number of targets.
        targets: usize,
        /// Where it came from.
        source: &'static str,
    }
    /// A plan was prepared here; new flows follow it once all live peers have prepared it.
    302 Info PlanPrepared {
        /// Number of the service.
        service: u32,
        /// Version of the plan.
        version: u64,
        /// Table that it was computed from.
        table: u64,
        /// Buckets that this version moved.
        moved: usize,
        /// Where it came from.
        source: &'static str,
    }
    /// An object of the platform or of a peer was refused; the one in force stays.
    303 Warning ObjectRefused {
        /// The object.
        object: String,
        /// Why.
        error: String,
    }
    /// A plan computed here was offered to the platform.
    304 Info PlanProposed {
        /// Number of the service.
        service: u32,
        /// Version of the plan.
        version: u64,
        /// Whether it was accepted, refused, or this is unknown.
        outcome: String,
    }
    /// The platform does not answer; what is in force stays in force.
    305 Warning PlatformLost {
        /// The error.
        error: String,
    }
    /// The platform answers again.
    306 Info PlatformBack {
        /// How long it did not, in milliseconds.
        after_ms: u64,
    }
    /// A balancer was found.
    401 Info PeerFound {
        /// The balancer.
        peer: u64,
        /// Its failure domain.
        domain: u16,
    }
    /// A balancer is no longer live: it died or left.
    402 Warning PeerGone {
        /// The balancer.
        peer: u64,
        /// Whether it had announced that it leaves.
        left: bool,
    }
    /// This balancer has what the owner of flows needs and tells its peers so.
    403 Info Ready {
        /// Live balancers, this one included.
        peers: usize,
    }
    /// Something that another balancer has could not be fetched from it; tried again.
    404 Warning FetchFailed {
        /// What it is.
        object: String,
        /// The error.
        error: String,
    }
    /// The balancers agree that a target is dead; new flows go to others.
    501 Warning TargetDown {
        /// Number of the target.
        target: u32,
        /// Balancers that call it unhealthy.
        unhealthy: usize,
        /// Balancers that have an opinion.
        voters: usize,
    }
    /// A target answers again and takes new flows.
    502 Info TargetUp {
        /// Number of the target.
        target: u32,
    }
    /// Most targets of a service look dead, so its probes are not believed.
    503 Warning ProbesDistrusted {
        /// Number of the service.
        service: u32,
    }
    /// The probes of a service are believed again.
    504 Info ProbesTrusted {
        /// Number of the service.
        service: u32,
    }
    /// An edit over the administration API ended.
    601 Info EditEnded {
        /// Name of the token.
        editor: String,
        /// What was asked for.
        action: String,
        /// Whether it is in force: `accepted`, `not_run` or `unknown`.
        verdict: &'static str,
        /// What became of it.
        message: String,
    }
    /// A drain of this balancer was asked for over the administration API.
    602 Info DrainRequested {}
    /// A decision on the first packet of a flow, or the reset of a flow.
    701 Info FlowDecided {
        /// The flow: the caller's address and the route's.
        flow: String,
        /// `forward` or `reset`.
        outcome: &'static str,
        /// Why.
        reason: &'static str,
        /// The target in hexadecimal; empty if none.
        target: String,
        /// Version of the manifest that decided it.
        manifest: u64,
        /// Revision of the list of targets that decided it.
        revision: u64,
        /// Time since the list was last confirmed, in milliseconds.
        age_ms: u64,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// A manifest came into force here.
    702 Info ManifestInForce {
        /// Its version.
        version: u64,
        /// Version that it replaced; 0 for none.
        replaced: u64,
        /// Number of routes.
        routes: usize,
        /// Routes that can't be read and were left out.
        left_out: usize,
        /// Where it came from.
        source: &'static str,
    }
    /// What is believed of a target changed.
    703 Info TargetChanged {
        /// The target in hexadecimal.
        target: String,
        /// What changed.
        news: &'static str,
        /// Revision of the list of targets.
        revision: u64,
        /// Where it came from.
        source: &'static str,
    }
    /// A target does not answer; new flows go elsewhere for a while.
    704 Warning TargetSuspected {
        /// The target in hexadecimal.
        target: String,
        /// Doubts in a row, without an answer between them.
        doubts: u32,
        /// Flows here that go to it.
        flows: u32,
    }
    /// A call to the store failed; what is in force stays in force.
    705 Warning StoreLost {
        /// Kind of objects that was asked for.
        kind: &'static str,
        /// The error.
        error: String,
    }
    /// The store answers again.
    706 Info StoreBack {
        /// Kind of objects that was asked for.
        kind: &'static str,
        /// How long it did not, in milliseconds.
        after_ms: u64,
        /// Revision that it shows.
        revision: u64,
    }
    /// Objects of the store that can't be read; they are passed over.
    707 Warning EntryUnreadable {
        /// The object, or how many of them.
        object: String,
        /// What is wrong with it.
        error: String,
    }
    /// The settings file was read again.
    708 Info SettingsReloaded {
        /// Sections that changed and are in force.
        applied: String,
        /// Sections that changed and need a restart.
        pending: String,
    }
    /// The settings file could not be read again; the settings in force stay.
    709 Warning ReloadFailed {
        /// Why.
        error: String,
    }
    /// The process did not run for a while; what it believed may be old.
    710 Warning Paused {
        /// For how long, in milliseconds.
        paused_ms: u64,
    }
    /// A datagram is no packet and was dropped.
    711 Warning PacketUnreadable {
        /// Who sent it.
        from: SocketAddr,
        /// What is wrong with it.
        error: String,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// Nothing answers at a target, and it answered no caller meanwhile: its flows are reset.
    713 Warning TargetSilent {
        /// The target in hexadecimal.
        target: String,
        /// Time since the probe was asked for, in milliseconds.
        asked_ms: u64,
    }
    /// Something answers at a target that was doubted.
    714 Info TargetAnswers {
        /// The target in hexadecimal.
        target: String,
        /// Time since the probe was asked for, in milliseconds.
        asked_ms: u64,
    }
    /// Another balancer's view was taken, since the store does not answer.
    715 Warning SnapshotTaken {
        /// The other balancer.
        peer: SocketAddr,
        /// Version of its manifest.
        manifest: u64,
        /// Revision of its targets.
        revision: u64,
        /// Targets that it lists.
        targets: usize,
        /// Time since the store confirmed them to it, in milliseconds.
        age_ms: u64,
    }
    /// Another balancer did not answer, or with something that can't be used.
    716 Warning PeerLost {
        /// The other balancer.
        peer: SocketAddr,
        /// The error.
        error: String,
    }
    /// Another balancer answers again.
    717 Info PeerBack {
        /// The other balancer.
        peer: SocketAddr,
    }
    /// A question from another balancer can't be read, or its tag does not fit.
    718 Warning PeerRejected {
        /// What is wrong with it.
        error: String,
        /// Such events held back since the last line of this number.
        skipped: u64,
    }
    /// Answers of a service come late, so that a part of its new flows is refused; 0: no longer.
    719 Warning ServiceOverloaded {
        /// The service.
        service: String,
        /// Part of its less urgent new flows that is refused, in percent.
        refused_percent: u32,
    }
    /// This balancer asks the routers for packets, or to send none.
    712 Info ReadinessChanged {
        /// Whether it takes packets.
        ready: bool,
        /// Why.
        reason: &'static str,
    }
}
