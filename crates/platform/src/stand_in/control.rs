//! HTTP routes that set faults and the VM list, and return request counts.

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Route, get, post, put, routes};

use super::Faults;
use super::api_response::ApiResponse;
use super::shared::SharedState;
use crate::Vm;

pub(super) fn all() -> Vec<Route> {
    routes![set_vms, faults, set_faults, expire, counts]
}

#[put("/v1/vms", data = "<vms>")]
fn set_vms(vms: Json<Vec<Vm>>, shared: &SharedState) -> Result<ApiResponse, ApiResponse> {
    check_control_allowed(shared)?;
    let now = shared.clock.now();
    shared.lock().set_vms(now, vms.into_inner());
    Ok(ApiResponse::ok(&()))
}

#[get("/v1/faults")]
fn faults(shared: &SharedState) -> ApiResponse {
    ApiResponse::ok(&shared.lock().faults)
}

#[put("/v1/faults", data = "<faults>")]
fn set_faults(faults: Json<Faults>, shared: &SharedState) -> Result<ApiResponse, ApiResponse> {
    check_control_allowed(shared)?;
    shared.lock().faults = faults.into_inner();
    Ok(ApiResponse::ok(&()))
}

#[post("/v1/faults/expire_history")]
fn expire(shared: &SharedState) -> Result<ApiResponse, ApiResponse> {
    check_control_allowed(shared)?;
    shared.lock().objects.expire_history();
    shared.wake_watches();
    Ok(ApiResponse::ok(&()))
}

#[get("/v1/calls")]
fn counts(shared: &SharedState) -> ApiResponse {
    ApiResponse::ok(&shared.lock().counts())
}

fn check_control_allowed(shared: &SharedState) -> Result<(), ApiResponse> {
    if shared.allow_control {
        return Ok(());
    }
    Err(ApiResponse::refused(Status::Forbidden, "control is off"))
}
