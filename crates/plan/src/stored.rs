//! Compact storage and wire format of a plan, validated when read.
//!
//! Many buckets have the same target and version. Each distinct pair is listed
//! once, and each bucket is a few characters that encode the index of its pair.

use std::collections::HashMap;

use sequoiatrail_types::{PlanVersion, ServiceId, TableVersion, TargetId};
use serde::{Deserialize, Serialize};

use crate::error::StoredSnafu;
use crate::{Bucket, Error, Factors, Plan, Result};

/// Base-64 digits of the bucket indices.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Bits per digit.
const DIGIT_BITS: usize = 6;

/// Stored form of a plan.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredPlan {
    service: ServiceId,
    version: PlanVersion,
    table: TableVersion,
    #[serde(default)]
    factors: Factors,
    /// The distinct buckets, in order of first occurrence.
    kinds: Vec<(TargetId, PlanVersion)>,
    /// Index in `kinds` of each bucket, with as many digits as the number of kinds
    /// requires.
    buckets: String,
}

impl From<Plan> for StoredPlan {
    fn from(plan: Plan) -> StoredPlan {
        let mut kinds = Vec::new();
        let mut index_of = HashMap::new();
        let mut indices = Vec::with_capacity(plan.buckets.len());
        for bucket in &plan.buckets {
            let kind = (bucket.target, bucket.since);
            let kind_index = *index_of.entry(kind).or_insert(kinds.len());
            if kind_index == kinds.len() {
                kinds.push(kind);
            }
            indices.push(kind_index);
        }
        let digits = digits_for(kinds.len());
        let mut buckets = String::with_capacity(indices.len() * digits);
        for index in indices {
            push_index(&mut buckets, index, digits);
        }
        StoredPlan {
            service: plan.service,
            version: plan.version,
            table: plan.table,
            factors: plan.factors,
            kinds,
            buckets,
        }
    }
}

impl TryFrom<StoredPlan> for Plan {
    type Error = Error;

    /// Returns an error unless each bucket refers to a kind and the plan is valid.
    fn try_from(stored: StoredPlan) -> Result<Plan> {
        let digits = digits_for(stored.kinds.len());
        let indices = stored.buckets.as_bytes().chunks(digits);
        let bucket = |text| bucket(&stored.kinds, text, digits);
        let plan = Plan {
            service: stored.service,
            version: stored.version,
            table: stored.table,
            factors: stored.factors,
            buckets: indices.map(bucket).collect::<Result<_>>()?,
        };
        plan.check()?;
        Ok(plan)
    }
}

/// Number of digits needed for an index into `kinds` entries.
fn digits_for(kinds: usize) -> usize {
    let mut digits = 1;
    while kinds > 1 << (digits * DIGIT_BITS) {
        digits += 1;
    }
    digits
}

fn push_index(text: &mut String, index: usize, digits: usize) {
    for digit in (0..digits).rev() {
        let value = (index >> (digit * DIGIT_BITS)) % DIGITS.len();
        text.push(char::from(DIGITS[value]));
    }
}

fn bucket(kinds: &[(TargetId, PlanVersion)], text: &[u8], digits: usize) -> Result<Bucket> {
    let index = (text.len() == digits).then(|| parse_index(text)).flatten();
    let Some(&(target, since)) = index.and_then(|index| kinds.get(index)) else {
        let reason = "bucket refers to an unknown entry";
        return StoredSnafu { reason }.fail();
    };
    Ok(Bucket { target, since })
}

fn parse_index(text: &[u8]) -> Option<usize> {
    let mut index = 0;
    for digit in text {
        let value = DIGITS.iter().position(|d| d == digit)?;
        index = index << DIGIT_BITS | value;
    }
    Some(index)
}
