//! Encoding of load reports.
//!
//! The encoding is binary, since a target takes 6 bytes of it rather than 40 in JSON: at
//! that size a report fits into the share of a link that the exchange may use. Numbers
//! are of variable length (LEB128).

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, TryGetError};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{Cookie, LoadReport, PriorityDemand, ServiceLoadReport, TargetLoadReport};

/// Rates are sent in tenths of an event per second.
const RATE_UNITS: f64 = 10.0;
/// Longest name of a service or failure domain, in bytes; longer ones are cut.
const MAX_NAME_BYTES: usize = 64;
/// Largest encoded target, in bytes: its cookie and two numbers of 32 bits.
const MAX_TARGET_BYTES: usize = 4 + 2 * 5;

/// Result of decoding a load message.
type Result<T, E = LoadMessageError> = std::result::Result<T, E>;

/// Why a load message can't be decoded.
#[derive(Debug, Snafu)]
pub enum LoadMessageError {
    /// The message ends too early.
    #[snafu(display("truncated load report"))]
    Truncated {
        /// What was missing.
        source: TryGetError,
    },
    /// A field has an invalid value.
    #[snafu(display("invalid {field} in a load report"))]
    Invalid {
        /// The field.
        field: &'static str,
    },
}

/// A load report with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadMessage {
    /// Address of the sender's peer API.
    pub from: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its load.
    pub report: LoadReport,
}

impl LoadMessage {
    /// Encodes the message in at most `max_bytes`, a few hundred at least. Services and
    /// targets at the end that don't fit are left out.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        let mut buf = Vec::with_capacity(max_bytes);
        put_address(&mut buf, self.from);
        put_name(&mut buf, &self.domain);
        put_report(&mut buf, &self.report, max_bytes);
        buf
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The message is malformed.
    pub fn decode(bytes: &[u8]) -> Result<LoadMessage> {
        let mut buf = bytes;
        Ok(LoadMessage {
            from: get_address(&mut buf)?,
            domain: get_name(&mut buf)?,
            report: get_report(&mut buf)?,
        })
    }
}

fn put_report(buf: &mut Vec<u8>, report: &LoadReport, max_bytes: usize) {
    buf.put_u32(report.process);
    put_number(buf, report.number);
    put_number(buf, report.turn.as_millis() as u64);
    buf.put_u8(u8::from(report.heard.is_some()));
    if let Some(heard) = report.heard {
        put_address(buf, heard);
    }
    put_services(buf, &report.services, max_bytes);
    for target in &report.targets {
        if buf.len() + MAX_TARGET_BYTES > max_bytes {
            break;
        }
        buf.put_u32(target.cookie.0);
        put_number(buf, target.flows.into());
        put_number(buf, target.in_flight.into());
    }
}

fn get_report(buf: &mut &[u8]) -> Result<LoadReport> {
    let process = buf.try_get_u32().context(TruncatedSnafu)?;
    let number = get_number(buf)?;
    let turn = Duration::from_millis(get_u32(buf)?.into());
    let heard = match buf.try_get_u8().context(TruncatedSnafu)? {
        0 => None,
        _ => Some(get_address(buf)?),
    };
    let count = buf.try_get_u8().context(TruncatedSnafu)?;
    let services = (0..count).map(|_| get_service(buf));
    let services = services.collect::<Result<Vec<_>>>()?;
    let mut targets = Vec::new();
    while buf.has_remaining() {
        targets.push(TargetLoadReport {
            cookie: Cookie(buf.try_get_u32().context(TruncatedSnafu)?),
            flows: get_u32(buf)?,
            in_flight: get_u32(buf)?,
        });
    }
    Ok(LoadReport {
        process,
        number,
        turn,
        heard,
        services,
        targets,
    })
}

/// Writes the services in at most half of the message; the rest is left out.
fn put_services(buf: &mut Vec<u8>, services: &[ServiceLoadReport], max_bytes: usize) {
    let count_at = buf.len();
    buf.put_u8(0);
    let mut count = 0;
    for service in services.iter().take(u8::MAX.into()) {
        let start = buf.len();
        put_service(buf, service);
        if buf.len() > count_at + max_bytes / 2 {
            buf.truncate(start);
            break;
        }
        count += 1;
    }
    buf[count_at] = count;
}

fn put_service(buf: &mut Vec<u8>, service: &ServiceLoadReport) {
    put_name(buf, &service.service);
    put_number(buf, service.in_flight.into());
    put_rate(buf, service.answered_per_s);
    let demand = &service.demand[..service.demand.len().min(u8::MAX.into())];
    buf.put_u8(demand.len() as u8);
    for demand in demand {
        put_number(buf, demand.priority.into());
        put_rate(buf, demand.flows_per_s);
        put_rate(buf, demand.requests_per_s);
        put_rate(buf, demand.refused_per_s);
    }
}

fn get_service(buf: &mut &[u8]) -> Result<ServiceLoadReport> {
    let service = get_name(buf)?;
    let in_flight = get_u32(buf)?;
    let answered_per_s = get_rate(buf)?;
    let count = buf.try_get_u8().context(TruncatedSnafu)?;
    let demand = (0..count).map(|_| get_demand(buf));
    Ok(ServiceLoadReport {
        service,
        in_flight,
        answered_per_s,
        demand: demand.collect::<Result<Vec<_>>>()?,
    })
}

fn get_demand(buf: &mut &[u8]) -> Result<PriorityDemand> {
    Ok(PriorityDemand {
        priority: get_u32(buf)?,
        flows_per_s: get_rate(buf)?,
        requests_per_s: get_rate(buf)?,
        refused_per_s: get_rate(buf)?,
    })
}

fn put_address(buf: &mut Vec<u8>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => {
            buf.put_u8(4);
            buf.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            buf.put_u8(6);
            buf.put_slice(&ip.octets());
        }
    }
    buf.put_u16(address.port());
}

fn get_address(buf: &mut &[u8]) -> Result<SocketAddr> {
    let ip: IpAddr = match buf.try_get_u8().context(TruncatedSnafu)? {
        4 => buf
            .try_get_u32()
            .context(TruncatedSnafu)?
            .to_be_bytes()
            .into(),
        6 => buf
            .try_get_u128()
            .context(TruncatedSnafu)?
            .to_be_bytes()
            .into(),
        _ => return InvalidSnafu { field: "address" }.fail(),
    };
    let port = buf.try_get_u16().context(TruncatedSnafu)?;
    Ok(SocketAddr::new(ip, port))
}

/// Writes a name; one that is too long is cut.
fn put_name(buf: &mut Vec<u8>, name: &str) {
    let name = &name[..name.floor_char_boundary(MAX_NAME_BYTES)];
    buf.put_u8(name.len() as u8);
    buf.put_slice(name.as_bytes());
}

fn get_name(buf: &mut &[u8]) -> Result<Arc<str>> {
    let length = usize::from(buf.try_get_u8().context(TruncatedSnafu)?);
    let bytes = buf.get(..length).context(InvalidSnafu { field: "name" })?;
    let name = std::str::from_utf8(bytes).ok();
    let name = name.context(InvalidSnafu { field: "name" })?;
    buf.advance(length);
    Ok(Arc::from(name))
}

fn put_rate(buf: &mut Vec<u8>, per_s: f64) {
    // The cast saturates, and turns a value that is no number into 0.
    put_number(buf, u64::from((per_s * RATE_UNITS).round() as u32));
}

fn get_rate(buf: &mut &[u8]) -> Result<f64> {
    let units = f64::from(get_u32(buf)?);
    Ok(units / RATE_UNITS)
}

fn put_number(buf: &mut Vec<u8>, number: u64) {
    let mut rest = number;
    while rest >= 0x80 {
        buf.put_u8(rest as u8 | 0x80);
        rest >>= 7;
    }
    buf.put_u8(rest as u8);
}

fn get_number(buf: &mut &[u8]) -> Result<u64> {
    let mut number = 0;
    for shift in (0..u64::BITS).step_by(7) {
        let byte = buf.try_get_u8().context(TruncatedSnafu)?;
        number |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Ok(number);
        }
    }
    InvalidSnafu { field: "number" }.fail()
}

fn get_u32(buf: &mut &[u8]) -> Result<u32> {
    let number = get_number(buf)?;
    let number = u32::try_from(number).ok();
    number.context(InvalidSnafu { field: "number" })
}
