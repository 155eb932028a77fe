//! The macro that defines the events.

/// Defines the events; the doc comment of each is its meaning in the catalogue.
macro_rules! events {
    ($(
        #[doc = $meaning:literal]
        $id:literal $level:ident $name:ident {
            $( #[doc = $about:literal] $field:ident: $kind:ty, )*
        }
    )+) => {
        /// A numbered event with its fields.
        #[derive(Clone, Debug, PartialEq, strum::EnumDiscriminants)]
        #[strum_discriminants(
            name(EventKind),
            derive(Hash, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr),
            strum(serialize_all = "snake_case"),
            doc = "The kind of an event, without its fields."
        )]
        pub enum Event {
            $(
                #[doc = $meaning]
                $name {
                    $( #[doc = $about] $field: $kind, )*
                },
            )+
        }

        impl EventKind {
            /// Number of the event; never given to another event.
            pub fn id(self) -> u16 {
                match self {
                    $( EventKind::$name => $id, )+
                }
            }

            /// Level that the event is written at.
            pub fn level(self) -> Level {
                match self {
                    $( EventKind::$name => Level::$level, )+
                }
            }

            /// What the event means.
            pub fn meaning(self) -> &'static str {
                match self {
                    $( EventKind::$name => $meaning.trim_ascii(), )+
                }
            }

            /// Names of the fields.
            pub fn fields(self) -> &'static [&'static str] {
                match self {
                    $( EventKind::$name => &[$( stringify!($field) ),*], )+
                }
            }
        }

        impl KV for Event {
            fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
                match self {
                    $(
                        #[allow(unused_variables)]
                        Event::$name { $( $field ),* } => {
                            $( Value::serialize($field, record, stringify!($field), serializer)?; )*
                            Ok(())
                        }
                    )+
                }
            }
        }
    };
}
pub(crate) use events;
