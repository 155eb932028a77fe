//! Routes for status, services and explanations.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::{State, get};
use sequoiatrail_table::{Service, Table};
use sequoiatrail_types::RefusalReason;

use crate::guard::Reader;
use crate::response::ApiResponse;
use crate::shared::Shared;
use crate::{ExplainQuery, ServiceReport, Status};

#[get("/v1/status")]
pub(crate) fn status(_reader: Reader, shared: &State<Arc<Shared>>) -> ApiResponse {
    ApiResponse::json(&(shared.backend.status)())
}

#[get("/v1/services")]
pub(crate) fn services(_reader: Reader, shared: &State<Arc<Shared>>) -> ApiResponse {
    let table = (shared.backend.table)();
    let status = (shared.backend.status)();
    let services = table.services.iter();
    let reports: Vec<_> = services
        .map(|s| service_report(&table, &status, s))
        .collect();
    ApiResponse::json(&reports)
}

#[get("/v1/explain?<service>&<src>")]
pub(crate) fn explain(
    _reader: Reader,
    service: &str,
    src: &str,
    shared: &State<Arc<Shared>>,
) -> Result<ApiResponse, ApiResponse> {
    let invalid = |message: String| ApiResponse::refused(RefusalReason::Invalid, message);
    let src: SocketAddr = src
        .parse()
        .map_err(|_| invalid(format!("src `{src}` is not an address with a port")))?;
    let query = ExplainQuery {
        service: service.to_owned(),
        src,
    };
    let explanation = (shared.backend.explain)(&query).map_err(invalid)?;
    Ok(ApiResponse::json(&explanation))
}

fn service_report(table: &Table, status: &Status, service: &Service) -> ServiceReport {
    let plan = status.plans.iter().find(|(id, _)| *id == service.id);
    let eligible = table
        .targets_of(service.id)
        .filter(|t| t.row.takes_new_flows());
    ServiceReport {
        id: service.id,
        name: service.name.clone(),
        owner: service.owner.clone(),
        address: service.address,
        protocol: service.protocol,
        targets: table.targets_of(service.id).count(),
        taking_new_flows: eligible.count(),
        plan: plan.map(|(_, version)| *version),
    }
}
