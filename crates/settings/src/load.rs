//! Loading and validation of a settings file.

use std::path::Path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use toml::{Table, Value};

use crate::error::{ReadSnafu, ValueSnafu};
use crate::key::keys;
use crate::{
    AdminSettings, CookieSettings, DataSettings, Format, HealthSettings, LogSettings, NodeSettings,
    PeersSettings, PlatformSettings, Result, StopSettings,
};

/// All settings of a balancer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// VM of the balancer.
    pub node: NodeSettings,
    /// Data path.
    pub data: DataSettings,
    /// Cookie data path.
    pub cookie: CookieSettings,
    /// Other balancers.
    pub peers: PeersSettings,
    /// Platform that holds table and plans.
    pub platform: PlatformSettings,
    /// Target probes.
    pub health: HealthSettings,
    /// Administration API.
    pub admin: AdminSettings,
    /// Log.
    pub log: LogSettings,
    /// Graceful shutdown.
    pub stop: StopSettings,
}

/// Result of loading a settings file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loaded {
    /// Validated settings.
    pub settings: Settings,
    /// Unknown keys, including their sections; they are ignored.
    pub unknown: Vec<String>,
}

/// Loads and validates a settings file.
pub fn load(file: &Path) -> Result<Loaded> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    from_toml(file, &text)
}

/// Parses and validates TOML text; `file` is the name used in errors.
pub fn from_toml(file: &Path, text: &str) -> Result<Loaded> {
    let syntax = |source: toml::de::Error| crate::Error::Syntax {
        file: file.to_owned(),
        source: Box::new(source),
    };
    let table: Table = text.parse().map_err(syntax)?;
    check_values(file, &table)?;
    let mut unknown = Vec::new();
    let settings: Settings =
        serde_ignored::deserialize(table, |path| unknown.push(path.to_string())).map_err(syntax)?;
    check_combinations(file, &settings)?;
    Ok(Loaded { settings, unknown })
}

fn check_values(file: &Path, table: &Table) -> Result<()> {
    for k in keys() {
        let Some(section) = table.get(k.section) else {
            continue;
        };
        let Some(section) = section.as_table() else {
            return value_error(file, k.section, section, "a section");
        };
        let Some(value) = section.get(k.key) else {
            continue;
        };
        if !(k.check)(value) {
            return value_error(file, &format!("{}.{}", k.section, k.key), value, k.allowed);
        }
    }
    Ok(())
}

/// Checks keys that depend on each other.
fn check_combinations(file: &Path, settings: &Settings) -> Result<()> {
    let platform = &settings.platform;
    if let Some(endpoint) = platform.endpoint
        && platform.embedded
    {
        let value = Value::from(endpoint.to_string());
        let allowed = "no value while platform.embedded = true";
        return value_error(file, "platform.endpoint", &value, allowed);
    }
    if settings.data.format == Format::Cookie && platform.endpoint.is_none() {
        let allowed = "ip unless platform.endpoint names the store";
        return value_error(file, "data.format", &Value::from("cookie"), allowed);
    }
    let peers = &settings.peers;
    if !peers.seeds.is_empty() && peers.key.is_empty() {
        let allowed = "at least 16 bytes while peers.seeds names balancers";
        return value_error(file, "peers.key", &Value::from(""), allowed);
    }
    Ok(())
}

fn value_error<T>(file: &Path, key: &str, value: &Value, allowed: &str) -> Result<T> {
    let is_secret = key.ends_with("key") || key.ends_with("tokens");
    let value = if is_secret {
        "(not shown)".into()
    } else {
        value.to_string()
    };
    ValueSnafu {
        file,
        key,
        value,
        allowed,
    }
    .fail()
}
