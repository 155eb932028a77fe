//! Reading and checking of the whole file.

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
    /// The VM.
    pub node: NodeSettings,
    /// The data path.
    pub data: DataSettings,
    /// Packets with a flow cookie.
    pub cookie: CookieSettings,
    /// Other balancers.
    pub peers: PeersSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Probes of targets.
    pub health: HealthSettings,
    /// The administration API.
    pub admin: AdminSettings,
    /// The log.
    pub log: LogSettings,
    /// The graceful stop.
    pub stop: StopSettings,
}

/// Settings with what was found beside them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loaded {
    /// The settings.
    pub settings: Settings,
    /// Unknown keys with their sections; they have no effect.
    pub unknown: Vec<String>,
}

/// Reads and checks a file.
pub fn load(file: &Path) -> Result<Loaded> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    from_toml(file, &text)
}

/// Checks a text; `file` is named in errors.
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
    check_together(file, &settings)?;
    Ok(Loaded { settings, unknown })
}

fn check_values(file: &Path, table: &Table) -> Result<()> {
    for k in keys() {
        let Some(section) = table.get(k.section) else {
            continue;
        };
        let Some(section) = section.as_table() else {
            return refused(file, k.section, section, "a section");
        };
        let Some(value) = section.get(k.key) else {
            continue;
        };
        if !(k.check)(value) {
            return refused(file, &format!("{}.{}", k.section, k.key), value, k.allowed);
        }
    }
    Ok(())
}

/// Checks of keys that depend on each other.
fn check_together(file: &Path, settings: &Settings) -> Result<()> {
    let platform = &settings.platform;
    if let Some(endpoint) = platform.endpoint
        && platform.embedded
    {
        let value = Value::from(endpoint.to_string());
        let allowed = "no value while platform.embedded = true";
        return refused(file, "platform.endpoint", &value, allowed);
    }
    if settings.data.format == Format::Cookie && platform.endpoint.is_none() {
        let allowed = "ip unless platform.endpoint names the store";
        return refused(file, "data.format", &Value::from("cookie"), allowed);
    }
    let peers = &settings.peers;
    if !peers.seeds.is_empty() && peers.key.is_empty() {
        let allowed = "at least 16 bytes while peers.seeds names balancers";
        return refused(file, "peers.key", &Value::from(""), allowed);
    }
    Ok(())
}

fn refused<T>(file: &Path, key: &str, value: &Value, allowed: &str) -> Result<T> {
    let secret = key.ends_with("key") || key.ends_with("tokens");
    let value = if secret {
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
