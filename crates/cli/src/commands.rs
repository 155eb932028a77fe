//! Implementation of the commands.

use std::io::Write;
use std::net::SocketAddr;

use sequoiatrail_admin::{
    CheckReply, DrainReply, EditReply, Explanation, RowPatch, ServiceReport, Status, TableView,
};
use sequoiatrail_table::{EditId, Table, from_csv, to_csv};
use sequoiatrail_types::TableVersion;
use serde::Serialize;
use snafu::ResultExt;

use crate::api::{Api, Call};
use crate::error::{FileSnafu, TableSnafu};
use crate::options::Settings;
use crate::{Result, render};

/// Prefix of the line in an exported CSV file that holds its table version.
const VERSION_PREFIX: &str = "# version ";

/// State shared by all commands.
pub(crate) struct Commands<'a> {
    pub(crate) api: Api,
    pub(crate) settings: &'a Settings,
    pub(crate) out: &'a mut dyn Write,
}

impl Commands<'_> {
    pub(crate) fn table_show(&mut self) -> Result<()> {
        let view: TableView = self.api.read(&Call::get("/v1/table"))?;
        self.print(&view, |view| {
            format!("version {}\n{}", view.version, render::table(&view.rows))
        })
    }

    pub(crate) fn table_check(&mut self, file: &str) -> Result<()> {
        let text = self.read_valid_csv(file)?;
        let call = Call {
            method: "POST",
            ..Call::get("/v1/table/check").csv(text)
        };
        let answer: CheckReply = self.api.read(&call)?;
        self.print(&answer, |answer| {
            let changes = render::changes(&answer.changes);
            let count = answer.changes.len();
            format!(
                "{changes}{count} rows differ from version {}\n",
                answer.version
            )
        })
    }

    pub(crate) fn table_apply(&mut self, file: &str) -> Result<()> {
        let text = self.read_valid_csv(file)?;
        let base = self.settings.base.unwrap_or_else(|| version_of(&text));
        let call = Call::change("PUT", "/v1/table");
        let call = call.header("If-Match", format!("\"{base}\"")).csv(text);
        self.edit(call)
    }

    pub(crate) fn table_edit(
        &mut self,
        service: &str,
        target: &str,
        patch: &RowPatch,
    ) -> Result<()> {
        let call = Call::change("PATCH", format!("/v1/table/{service}/{target}"));
        self.edit(call.json(patch))
    }

    pub(crate) fn table_export(&mut self, file: Option<&str>) -> Result<()> {
        let view: TableView = self.api.read(&Call::get("/v1/table"))?;
        let path = file.unwrap_or("output");
        let csv = to_csv(&view.rows).context(TableSnafu { path })?;
        let text = format!("{VERSION_PREFIX}{}\n{csv}", view.version);
        match file {
            Some(path) => std::fs::write(path, text).context(FileSnafu { path })?,
            None => self.out.write_all(text.as_bytes())?,
        }
        Ok(())
    }

    pub(crate) fn target(&mut self, service: &str, target: &str, action: &str) -> Result<()> {
        self.edit(Call::change(
            "POST",
            format!("/v1/targets/{service}/{target}/{action}"),
        ))
    }

    pub(crate) fn service_list(&mut self) -> Result<()> {
        let services: Vec<ServiceReport> = self.api.read(&Call::get("/v1/services"))?;
        self.print(&services, |services| render::services(services))
    }

    pub(crate) fn status(&mut self) -> Result<()> {
        let status: Status = self.api.read(&Call::get("/v1/status"))?;
        self.print(&status, render::status)
    }

    pub(crate) fn explain(&mut self, service: &str, src: SocketAddr) -> Result<()> {
        let src = src.to_string().replace('[', "%5B").replace(']', "%5D");
        let call = Call::get(format!("/v1/explain?service={service}&src={src}"));
        let explanation: Explanation = self.api.read(&call)?;
        self.print(&explanation, |e| {
            let target = e.target.as_deref().unwrap_or("no target");
            let known = if e.known {
                "known here"
            } else {
                "not known here"
            };
            let bucket = if e.in_transition {
                "in transition"
            } else {
                "settled"
            };
            format!(
                "{} from {} goes to {target}: {}\n\
                 flow {}, {known}; bucket {}, {bucket}; plan {}\n",
                e.service, e.src, e.reason, e.flow, e.bucket, e.plan
            )
        })
    }

    pub(crate) fn drain(&mut self) -> Result<()> {
        let answer: DrainReply = self.api.read(&Call::change("POST", "/v1/drain"))?;
        self.print(&answer, |_| {
            "the balancer is stopping gracefully\n".to_owned()
        })
    }

    fn edit(&mut self, call: Call) -> Result<()> {
        let answer = self.api.edit(call, self.settings.edit_id.as_deref())?;
        self.print(&answer, |answer| match answer {
            EditReply::Accepted { version, .. } => format!("accepted as version {version}\n"),
            other => format!("{}\n", other.verdict()),
        })
    }

    /// Reads a CSV file and validates it, so that an invalid table is never sent.
    fn read_valid_csv(&self, path: &str) -> Result<String> {
        let text = std::fs::read_to_string(path).context(FileSnafu { path })?;
        let rows = from_csv(&text).context(TableSnafu { path })?;
        Table::default()
            .with_rows(&rows, EditId::default())
            .context(TableSnafu { path })?;
        Ok(text)
    }

    fn print<T: Serialize>(&mut self, value: &T, human: impl Fn(&T) -> String) -> Result<()> {
        if self.settings.json {
            let text = serde_json::to_string_pretty(value).unwrap_or_default();
            writeln!(self.out, "{text}")?;
            return Ok(());
        }
        self.out.write_all(human(value).as_bytes())?;
        Ok(())
    }
}

/// Table version recorded in a CSV file; 0, the empty table, if there is none.
fn version_of(text: &str) -> TableVersion {
    let recorded = text
        .lines()
        .find_map(|line| line.strip_prefix(VERSION_PREFIX));
    let version = recorded.and_then(|text| text.trim().parse().ok());
    TableVersion(version.unwrap_or(0))
}
