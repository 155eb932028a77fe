//! The catalogue of keys, used for validation and documentation.

use std::fmt::Write;

use toml::Value;

use crate::Settings;

/// Description of one settings key.
#[derive(Clone, Copy, Debug)]
pub struct KeyInfo {
    /// Section that contains the key.
    pub section: &'static str,
    /// Key name within the section.
    pub key: &'static str,
    /// Meaning of the key, with its unit.
    pub description: &'static str,
    /// Allowed values, in prose.
    pub allowed: &'static str,
    /// Returns whether a value is allowed.
    pub check: fn(&Value) -> bool,
}

/// Defines the struct, defaults and keys of a section.
macro_rules! section {
    (
        #[doc = $doc:literal]
        $section:literal $name:ident {
            $(
                #[doc = $description:literal]
                $field:ident: $kind:ty = $default:expr, $allowed:literal, $check:expr;
            )*
        }
    ) => {
        #[doc = $doc]
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(default)]
        pub struct $name {
            $( #[doc = $description] pub $field: $kind, )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $( $field: $default, )* }
            }
        }

        impl $name {
            pub(crate) const DESCRIPTION: &str = $doc;
            pub(crate) const KEYS: &[crate::KeyInfo] = &[$(
                crate::KeyInfo {
                    section: $section,
                    key: stringify!($field),
                    description: $description.trim_ascii(),
                    allowed: $allowed,
                    check: $check,
                },
            )*];
        }
    };
}
pub(crate) use section;

/// All sections, in documentation order.
pub(crate) const SECTIONS: &[(&str, &[KeyInfo])] = &[
    (crate::NodeSettings::DESCRIPTION, crate::NodeSettings::KEYS),
    (crate::DataSettings::DESCRIPTION, crate::DataSettings::KEYS),
    (
        crate::CookieSettings::DESCRIPTION,
        crate::CookieSettings::KEYS,
    ),
    (
        crate::PeersSettings::DESCRIPTION,
        crate::PeersSettings::KEYS,
    ),
    (
        crate::PlatformSettings::DESCRIPTION,
        crate::PlatformSettings::KEYS,
    ),
    (
        crate::HealthSettings::DESCRIPTION,
        crate::HealthSettings::KEYS,
    ),
    (
        crate::AdminSettings::DESCRIPTION,
        crate::AdminSettings::KEYS,
    ),
    (crate::LogSettings::DESCRIPTION, crate::LogSettings::KEYS),
    (crate::StopSettings::DESCRIPTION, crate::StopSettings::KEYS),
];

/// Returns all keys, in documentation order.
pub fn keys() -> impl Iterator<Item = &'static KeyInfo> {
    SECTIONS.iter().flat_map(|(_, keys)| keys.iter())
}

/// Renders the keys as Markdown, one table per section.
pub fn markdown() -> String {
    let defaults = toml::Table::try_from(Settings::default()).unwrap_or_default();
    let mut text = String::new();
    for (description, keys) in SECTIONS {
        let Some(first) = keys.first() else { continue };
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "## `[{}]`\n\n{}\n",
            first.section,
            description.trim_ascii()
        );
        text += "| Key | Default | Allowed | Meaning |\n|---|---|---|---|\n";
        for k in *keys {
            let default = defaults.get(k.section).and_then(|s| s.get(k.key));
            let default = default.map_or_else(|| "none".into(), |v| format!("`{v}`"));
            let _ = writeln!(
                text,
                "| `{}` | {default} | {} | {} |",
                k.key, k.allowed, k.description
            );
        }
        text.push('\n');
    }
    text
}
