//! Runs the API with a stand-in platform, and an HTTP client for it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sequoiatrail_admin::{
    AdminBackend, AdminConfig, AdminServer, AuditRecord, Explanation, Readiness, Role, Status,
    Token, launch,
};
use sequoiatrail_platform::{Client, ClientConfig, StandIn, StandInConfig, Store};
use sequoiatrail_table::Table;
use sequoiatrail_types::PlanVersion;
use ureq::Agent;

/// Secrets of the test tokens; `CREW` is restricted to the owner `cleaners`.
pub const READ: &str = "reader-0123456789";
pub const EDIT: &str = "editor-0123456789";
pub const CREW: &str = "crew-team-0123456789";

pub const CSV: &str = "\
service,owner,address,port,protocol,target,target_address,failure_domain,weight
crew,cleaners,192.0.2.1,443,tcp,c1,198.51.100.1:6081,1,10
crew,cleaners,192.0.2.1,443,tcp,c2,198.51.100.2:6081,2,10
portal,households,192.0.2.2,443,tcp,p1,198.51.100.3:6081,1,5
";

pub struct TestApi {
    pub platform: StandIn,
    pub admin: AdminServer,
    pub store: Arc<Store>,
    pub ready: Arc<AtomicBool>,
    pub drained: Arc<AtomicBool>,
    pub audit: Arc<Mutex<Vec<AuditRecord>>>,
}

pub struct HttpResponse {
    pub status: u16,
    pub etag: Option<String>,
    pub retry_after: Option<String>,
    pub body: String,
}

fn token(secret: &str, role: Role, owners: &[&str]) -> Token {
    Token {
        name: secret.split('-').next().unwrap_or_default().to_owned(),
        role,
        owners: owners.iter().map(|o| (*o).to_owned()).collect(),
        secret: secret.to_owned(),
    }
}

pub fn tokens() -> Vec<Token> {
    vec![
        token(READ, Role::Read, &[]),
        token(EDIT, Role::Edit, &[]),
        token(CREW, Role::Edit, &["cleaners"]),
    ]
}

pub fn start_api() -> TestApi {
    start_api_with(StandIn::start(StandInConfig::default()).unwrap())
}

pub fn start_api_with(platform: StandIn) -> TestApi {
    let store = store(platform.addr());
    let ready = Arc::new(AtomicBool::new(true));
    let drained = Arc::new(AtomicBool::new(false));
    let audit = Arc::new(Mutex::new(Vec::new()));
    TestApi {
        admin: admin(&store, &ready, &drained, &audit),
        platform,
        store,
        ready,
        drained,
        audit,
    }
}

fn store(endpoint: SocketAddr) -> Arc<Store> {
    let client = Client::new(ClientConfig {
        endpoint,
        call_timeout: Duration::from_millis(300),
        calls_per_second: 10_000.0,
        burst: 10_000.0,
        ..ClientConfig::default()
    });
    Arc::new(Store::new(Arc::new(client)))
}

fn admin(
    store: &Arc<Store>,
    ready: &Arc<AtomicBool>,
    drained: &Arc<AtomicBool>,
    audit: &Arc<Mutex<Vec<AuditRecord>>>,
) -> AdminServer {
    let state = AdminBackend {
        table: {
            let store = Arc::clone(store);
            Box::new(move || Arc::new(current_table(&store)))
        },
        edit: {
            let store = Arc::clone(store);
            Box::new(move |edit, rows| store.edit_table(edit, |table| rows(table)))
        },
        status: Box::new(Status::default),
        explain: Box::new(|query| {
            if query.service != "crew" {
                return Err(format!("no service `{}`", query.service));
            }
            Ok(Explanation {
                service: query.service.clone(),
                src: query.src,
                flow: "00000000000000ff".into(),
                bucket: 255,
                plan: PlanVersion(3),
                target: Some("c1".into()),
                reason: "plan".into(),
                known: false,
                in_transition: false,
            })
        }),
        drain: {
            let drained = Arc::clone(drained);
            Box::new(move || drained.store(true, Ordering::SeqCst))
        },
        ready: {
            let ready = Arc::clone(ready);
            Box::new(move || Readiness {
                ready: ready.load(Ordering::SeqCst),
                reasons: Vec::new(),
            })
        },
        metrics: Box::new(|| "flows_open 0\n".into()),
        audit: {
            let audit = Arc::clone(audit);
            Box::new(move |record| audit.lock().unwrap().push(record))
        },
    };
    let cfg = AdminConfig {
        listen: ([127, 0, 0, 1], 0).into(),
        tokens: tokens(),
        ..AdminConfig::default()
    };
    launch(cfg, state).unwrap()
}

pub fn current_table(store: &Store) -> Table {
    let stored = store.read_table().ok().flatten();
    stored.map(|s| s.value).unwrap_or_default()
}

impl TestApi {
    /// Starts the API of a second balancer with the same platform.
    pub fn second_api(&self) -> AdminServer {
        let store = store(self.platform.addr());
        admin(&store, &self.ready, &self.drained, &self.audit)
    }

    /// Sends a request with a bearer token (none if empty), headers and a body.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        token: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> HttpResponse {
        let url = format!("http://{}{path}", self.admin.addr());
        call(method, &url, token, headers, body)
    }

    pub fn get(&self, path: &str, token: &str) -> HttpResponse {
        self.call("GET", path, token, &[], "")
    }

    pub fn post(&self, path: &str, token: &str) -> HttpResponse {
        self.call("POST", path, token, &[], "")
    }

    pub fn apply(&self, token: &str, base: u64, csv: &str) -> HttpResponse {
        let base = format!("\"{base}\"");
        let headers = [("If-Match", base.as_str()), ("Content-Type", "text/csv")];
        self.call("PUT", "/v1/table", token, &headers, csv)
    }
}

/// Sends a request to any URL.
pub fn call(
    method: &str,
    url: &str,
    token: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> HttpResponse {
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut req = ureq::http::Request::builder().method(method).uri(url);
    if !token.is_empty() {
        req = req.header("Authorization", format!("Bearer {token}"));
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let mut res = agent.run(req.body(body.to_owned()).unwrap()).unwrap();
    let header = |name| {
        let value = res.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    HttpResponse {
        status: res.status().as_u16(),
        etag: header("ETag"),
        retry_after: header("Retry-After"),
        body: res.body_mut().read_to_string().unwrap(),
    }
}
