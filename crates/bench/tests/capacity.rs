//! Checks the values on the capacity page against the measured slopes.

use std::collections::BTreeMap;

use serde::Deserialize;

const DATA: &str = include_str!("../../../docs/capacity.toml");
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const SECONDS_PER_DAY: f64 = 86_400.0;

#[derive(Deserialize)]
struct Data {
    size: BTreeMap<String, f64>,
    derived: BTreeMap<String, Vec<String>>,
    line: Vec<Line>,
}

#[derive(Deserialize)]
struct Line {
    id: String,
    #[serde(default)]
    constant: f64,
    #[serde(default)]
    slope: f64,
    #[serde(default)]
    counts: Vec<String>,
    limit: Option<f64>,
}

impl Data {
    /// Value of a size or derived count; a leading slash gives its inverse.
    fn count(&self, name: &str) -> f64 {
        if let Some(divisor) = name.strip_prefix('/') {
            return 1.0 / self.count(divisor);
        }
        if let Some(factors) = self.derived.get(name) {
            return factors.iter().map(|f| self.count(f)).product();
        }
        match name {
            "day" => SECONDS_PER_DAY,
            "group_less_one" => self.size["group"] - 1.0,
            _ => self.size[name],
        }
    }

    fn value(&self, line: &Line) -> f64 {
        let product: f64 = line.counts.iter().map(|c| self.count(c)).product();
        line.constant + line.slope * product
    }
}

/// Formats a value with three significant digits, as on the page.
fn format_value(value: f64) -> String {
    let digits = value.abs().log10().floor() as i32;
    let unit = 10_f64.powi(digits - 2);
    let rounded = (value / unit).round() * unit;
    let decimals = (2 - digits).max(0) as usize;
    let plain = format!("{rounded:.decimals$}");
    let (whole, rest) = plain.split_once('.').unwrap_or((&plain, ""));
    let grouped = whole
        .as_bytes()
        .rchunks(3)
        .rev()
        .map(|chunk| std::str::from_utf8(chunk).expect("digits"))
        .collect::<Vec<_>>()
        .join(",");
    if rest.is_empty() {
        grouped
    } else {
        format!("{grouped}.{rest}")
    }
}

fn row<'a>(id: &str) -> Option<Vec<&'a str>> {
    let start = format!("| `{id}` |");
    let row = PAGE.lines().find(|line| line.starts_with(&start))?;
    Some(row.split('|').map(str::trim).collect())
}

#[test]
fn each_row_of_the_page_matches_the_measured_slopes() {
    let data: Data = toml::from_str(DATA).expect("the data file is valid");
    for line in &data.line {
        let id = &line.id;
        let row = row(id).unwrap_or_else(|| panic!("the page has no row `{id}`"));
        let value = format_value(data.value(line));
        assert_eq!(row[2], value, "value of `{id}`");
        if let Some(limit) = line.limit {
            let share = format_value(data.value(line) / limit * 100.0);
            assert_eq!(row[4], format!("{share}%"), "share of the limit of `{id}`");
        }
    }
}

#[test]
fn each_row_of_the_page_has_a_data_line() {
    let data: Data = toml::from_str(DATA).expect("the data file is valid");
    let rows = PAGE.lines().filter_map(|l| l.strip_prefix("| `"));
    for id in rows.filter_map(|row| row.split('`').next()) {
        assert!(data.line.iter().any(|l| l.id == id), "no data for `{id}`");
    }
}

#[test]
fn each_exceeded_limit_is_named_in_the_first_section() {
    let data: Data = toml::from_str(DATA).expect("the data file is valid");
    let first = PAGE.split("\n## ").nth(1).expect("a first section");
    for line in &data.line {
        let over = line.limit.is_some_and(|limit| data.value(line) > limit);
        let named = first.contains(&format!("`{}`", line.id));
        assert!(
            !over || named,
            "`{}` exceeds its limit and is not named",
            line.id
        );
    }
}
