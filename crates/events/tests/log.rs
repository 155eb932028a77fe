//! Log formats, sampling, rate limits, and dropped lines when the writer blocks.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sequoiatrail_events::{Event, Format, Log, LogConfig, LogLevel, RateLimit, Sampler};

#[derive(Clone, Default)]
struct MemoryWriter(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MemoryWriter {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

fn peer_gone(peer: u64) -> Event {
    Event::PeerGone { peer, left: false }
}

#[test]
fn json_line_has_number_name_and_fields() {
    let out = MemoryWriter::default();
    let cfg = LogConfig {
        format: Format::Json,
        ..LogConfig::default()
    };
    let log = Log::to_writer(&cfg, Box::new(out.clone()));
    log.for_vm("entry-1").emit(peer_gone(7));
    drop(log);
    let text = out.text();
    assert!(text.contains("\"vm\":\"entry-1\""), "{text}");
    assert!(text.contains("\"msg\":\"peer_gone\""), "{text}");
    assert!(text.contains("\"event\":402"), "{text}");
    assert!(text.contains("\"peer\":7"), "{text}");
}

#[test]
fn human_line_has_number_name_and_fields() {
    let out = MemoryWriter::default();
    Log::to_writer(&LogConfig::default(), Box::new(out.clone())).emit(peer_gone(7));
    let text = out.text();
    assert!(text.contains("WARN peer_gone"), "{text}");
    assert!(text.contains("event: 402"), "{text}");
    assert!(text.contains("peer: 7"), "{text}");
}

#[test]
fn events_below_the_level_are_not_written() {
    let out = MemoryWriter::default();
    let cfg = LogConfig {
        level: LogLevel::Error,
        ..LogConfig::default()
    };
    Log::to_writer(&cfg, Box::new(out.clone())).emit(peer_gone(7));
    assert_eq!(out.text(), "");
}

#[test]
fn blocked_writer_drops_and_counts_lines() {
    let out = MemoryWriter::default();
    let cfg = LogConfig {
        queue_lines: 4,
        ..LogConfig::default()
    };
    let log = Log::to_writer(&cfg, Box::new(out.clone()));
    let blocked = out.0.lock().unwrap();
    for peer in 0..100 {
        log.emit(peer_gone(peer));
    }
    // The writer may hold one line in addition to the queue.
    assert!(log.dropped() >= 95, "{}", log.dropped());
    let dropped = log.dropped();
    drop(blocked);
    drop(log);
    assert_eq!(out.text().lines().count() as u64, 100 - dropped);
}

#[test]
fn sampler_admits_one_in_n_and_reports_the_interval() {
    let sampler = Sampler::new(10);
    let admitted: Vec<u64> = (0..100).filter_map(|_| sampler.admit()).collect();
    assert_eq!(admitted, vec![10; 10]);
    assert_eq!(Sampler::new(0).admit(), None);
}

#[test]
fn rate_limit_reports_the_number_of_suppressed_events() {
    let limit = RateLimit::new(2);
    let first = Duration::from_secs(1);
    let admitted = (0..10).filter(|_| limit.admit(first).is_some()).count();
    assert_eq!(admitted, 2);
    assert_eq!(limit.admit(Duration::from_secs(2)), Some(8));
    assert_eq!(limit.admit(Duration::from_secs(2)), Some(0));
}
