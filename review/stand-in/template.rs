//! Fills in the template of the settings, as the platform does.

/// A field of the platform.
#[derive(Clone, Debug)]
pub enum Field {
    Text(String),
    List(Vec<String>),
}

/// Fields by name.
pub type Fields = Vec<(&'static str, Field)>;

/// Renders a template. A section appears once for each entry of a list, or once if there
/// is a value; an inverted one if there is none.
pub fn render(template: &str, fields: &Fields) -> String {
    render_in(template, fields, None, false)
}

fn render_in(template: &str, fields: &Fields, current: Option<&str>, last: bool) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let Some(length) = rest[start..].find("}}") else {
            break;
        };
        let tag = &rest[start + 2..start + length];
        rest = &rest[start + length + 2..];
        match tag.split_at(1) {
            ("#" | "^", name) => {
                let close = format!("{{{{/{name}}}}}");
                let Some(end) = rest.find(&close) else {
                    break;
                };
                let body = &rest[..end];
                rest = &rest[end + close.len()..];
                out.push_str(&section(body, fields, lookup(fields, name), &tag[..1]));
            }
            (".", "") => out.push_str(current.unwrap_or_default()),
            (",", "") if !last => out.push(','),
            (",", "") => {}
            _ => out.push_str(&text(lookup(fields, tag))),
        }
    }
    out.push_str(rest);
    out
}

fn section(body: &str, fields: &Fields, value: Option<&Field>, sign: &str) -> String {
    match (value, sign) {
        (None, "^") => render_in(body, fields, None, false),
        (Some(Field::Text(text)), "#") => render_in(body, fields, Some(text), true),
        (Some(Field::List(list)), "#") => {
            let entries = list.iter().enumerate();
            let entries =
                entries.map(|(n, entry)| render_in(body, fields, Some(entry), n + 1 == list.len()));
            entries.collect()
        }
        _ => String::new(),
    }
}

fn lookup<'a>(fields: &'a Fields, name: &str) -> Option<&'a Field> {
    let found = fields.iter().find(|(field, _)| *field == name);
    found.map(|(_, value)| value)
}

fn text(value: Option<&Field>) -> String {
    match value {
        None => String::new(),
        Some(Field::Text(text)) => text.clone(),
        Some(Field::List(list)) => list.join(","),
    }
}
