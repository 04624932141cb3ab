//! What sidecar and node add to a streamed call, against stand-in engines asked directly.
//!
//! Log, engines, node, sidecar and callers run on threads of their own in one process and speak real
//! HTTP and TCP over loopback. For each number of calls in flight the callers make the same calls
//! once directly and once through the sidecar, and the table shows percentiles of both. Run with
//! `cargo run --release -p elderworks-cli --example added_latency`.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use comfy_table::Table;
use elderworks_control::ControlBody;
use elderworks_engine_model::EngineParameters;
use elderworks_node::operator::OperatorHandle;
use elderworks_node_core::event::OperatorRequest;
use elderworks_settings::{
    BearerToken, LoggingSettings, NodeLimits, NodeProcessSettings, SidecarLimits,
    SidecarProcessSettings,
};
use elderworks_standin::engine::{EngineSettings, with_speed};
use elderworks_standin::log::LogSettings;
use elderworks_standin::{ServerHandle, engine, listen, log};
use elderworks_types::resource::{
    EngineEndpoint, Metadata, ModelServiceSpec, ProgramSpec, Resource, ServiceSpec, Spec,
};
use elderworks_types::{
    Credits, EngineId, ModelName, NodeId, Offset, ResourceName, RunId, TenantId, Tokens, ZoneId,
};
use eyre::{OptionExt, WrapErr, eyre};
use futures_util::StreamExt;
use futures_util::future::join_all;
use serde_json::json;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const TOKEN: &str = "measuring";
const MODEL: &str = "model";
/// Together they batch 1,024 calls, so that calls do not wait for an engine.
const ENGINE_THREADS: usize = 4;
const ENGINES_PER_THREAD: usize = 8;
const IN_FLIGHT: [usize; 3] = [1, 100, 1_000];
const CALLS_PER_CALLER: usize = 5;
/// Calls of a single caller, so that its percentiles rest on more than a few.
const CALLS_OF_ONE: usize = 100;
const OUTPUT_TOKENS: u64 = 32;
const ENGINE_SPEED: f64 = 4.0;
const CALL_TIMEOUT: Duration = Duration::from_secs(120);
const PERCENTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Times of one call from its start.
#[derive(Clone, Copy)]
struct Times {
    first_chunk: Duration,
    whole: Duration,
}

/// One of a call's times.
type Part = fn(&Times) -> Duration;

/// Runs one part of the system on a thread of its own, for as long as the process lives, and returns
/// what its start gave.
fn on_thread<T, S, F>(start: S) -> eyre::Result<T>
where
    T: Send + 'static,
    S: FnOnce() -> F + Send + 'static,
    F: Future<Output = eyre::Result<(T, Box<dyn std::any::Any>)>>,
{
    let (started, result) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            match start().await {
                Ok((value, _kept)) => {
                    let _ = started.send(Ok(value));
                    std::future::pending::<()>().await;
                }
                Err(error) => {
                    let _ = started.send(Err(error));
                }
            }
        });
    });
    result.recv().wrap_err("a part of the system died")?
}

fn start_log() -> eyre::Result<String> {
    on_thread(|| async {
        let server = log::serve(listen(LOOPBACK)?, LogSettings::default())?;
        Ok((server.url(), Box::new(server) as _))
    })
}

/// Starts engines, several to a thread; returns their names and addresses.
fn start_engines() -> eyre::Result<Vec<(EngineId, String)>> {
    let mut engines = Vec::new();
    for thread in 0..ENGINE_THREADS {
        let started = on_thread(move || async move {
            let names = (0..ENGINES_PER_THREAD).map(|index| format!("engine-{thread}-{index}"));
            let servers: eyre::Result<Vec<_>> = names.map(start_engine).collect();
            let servers = servers?;
            let addresses: Vec<_> = servers
                .iter()
                .map(|(id, server)| (id.clone(), server.url()))
                .collect();
            Ok((addresses, Box::new(servers) as _))
        })?;
        engines.extend(started);
    }
    Ok(engines)
}

fn start_engine(name: String) -> eyre::Result<(EngineId, ServerHandle)> {
    let id = EngineId::new(name);
    let mut settings = EngineSettings::new(id.clone());
    settings.models = vec![ModelName::new(MODEL)];
    settings.parameters = with_speed(EngineParameters::default(), ENGINE_SPEED);
    Ok((id, engine::serve(listen(LOOPBACK)?, settings)?))
}

fn start_node(log_url: String) -> eyre::Result<(SocketAddr, OperatorHandle)> {
    on_thread(move || async move {
        let settings = NodeProcessSettings {
            name: NodeId::new("node"),
            zone: ZoneId::new("zone"),
            cell: None,
            listen: LOOPBACK,
            gossip: LOOPBACK,
            admin: LOOPBACK,
            seeds: Vec::new(),
            log_url,
            machines_url: None,
            partition_count: 16,
            operator_token: None,
            limits: NodeLimits::default(),
            logging: LoggingSettings::default(),
        };
        let node = elderworks_node::start(&settings).await?;
        if !node.ready().await {
            return Err(eyre!("the node stopped while starting"));
        }
        Ok(((node.address, node.operator()), Box::new(node) as _))
    })
}

fn start_sidecar(node: SocketAddr) -> eyre::Result<String> {
    on_thread(move || async move {
        let settings = SidecarProcessSettings {
            listen: LOOPBACK,
            nodes: vec![node],
            zone: ZoneId::new("zone"),
            default_program: None,
            tenants: [(TenantId::new("tenant"), BearerToken::new(TOKEN))].into(),
            limits: SidecarLimits {
                max_open_calls: 4_096,
                ..SidecarLimits::default()
            },
            logging: LoggingSettings::default(),
        };
        let sidecar = elderworks_sidecar::start(settings)?;
        let url = format!("http://{}", sidecar.address());
        Ok((url, Box::new(sidecar) as _))
    })
}

fn resources(engines: &[(EngineId, String)]) -> [Resource; 2] {
    let endpoint = |(id, url): &(EngineId, String)| EngineEndpoint {
        id: id.clone(),
        url: url.clone(),
        zone: ZoneId::new("zone"),
    };
    let model = ModelServiceSpec {
        model: ModelName::new(MODEL),
        engines: engines.iter().map(endpoint).collect(),
        credits_per_prompt_token: Credits(1),
        credits_per_output_token: Credits(1),
    };
    let program = ProgramSpec {
        services: vec![ResourceName::new("service")],
        budget: None,
        run_budget: Credits(1_000_000_000),
        max_turns: 10_000,
        max_history: Tokens(10_000_000),
        max_duration: Duration::from_secs(3_600),
        deadline: None,
        priority: 0,
    };
    let resource = |name, spec| Resource {
        metadata: Metadata {
            name: ResourceName::new(name),
            revision: Offset(0),
        },
        spec,
    };
    [
        resource("service", Spec::Service(ServiceSpec::Model(model))),
        resource("program", Spec::Program(program)),
    ]
}

async fn apply(operator: &OperatorHandle, engines: &[(EngineId, String)]) -> eyre::Result<()> {
    for resource in resources(engines) {
        let change = ControlBody::Put {
            resource,
            expected: None,
        };
        let reply = operator.ask(OperatorRequest::Change(change));
        let reply = reply.map_err(|_| eyre!("the node is busy"))?;
        reply.await.map_err(|_| eyre!("the node has stopped"))?;
    }
    Ok(())
}

/// Where and how calls are made.
#[derive(Clone)]
struct Target {
    client: awc::Client,
    /// Callers are dealt over these.
    urls: Vec<String>,
    through_sidecar: bool,
}

impl Target {
    /// Starts a run where calls need one.
    async fn run(&self) -> eyre::Result<Option<String>> {
        if !self.through_sidecar {
            return Ok(None);
        }
        let request = self.client.post(format!("{}/v1/runs", self.urls[0]));
        let request = request.bearer_auth(TOKEN);
        let sent = request.send_json(&json!({ "program": "program" })).await;
        let mut answer = sent.map_err(|error| eyre!("{error}"))?;
        let run: serde_json::Value = answer.json().await?;
        let id = run["id"].as_str().ok_or_eyre("a run was not started")?;
        Ok(Some(id.to_owned()))
    }

    async fn call(
        &self,
        in_flight: usize,
        caller: usize,
        call: usize,
        run: Option<&str>,
    ) -> eyre::Result<Times> {
        let prompt = format!("caller {caller}, call {call}: {}", "word ".repeat(40));
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": OUTPUT_TOKENS,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let base = &self.urls[caller % self.urls.len()];
        let url = format!("{base}/v1/chat/completions");
        let mut request = self.client.post(url).bearer_auth(TOKEN);
        let direct_id = format!("{in_flight}-{caller}-{call}");
        request = match run {
            Some(run) => request.insert_header(("x-elderworks-run", run)),
            None => request
                .insert_header(("x-request-id", direct_id))
                .insert_header(("x-run-id", RunId::root(caller as u64 + 1).to_string())),
        };
        let start = Instant::now();
        let sent = request.send_json(&body).await;
        let mut answer = sent.map_err(|error| eyre!("{error}"))?;
        if !answer.status().is_success() {
            let body = answer.body().await?;
            return Err(eyre!(
                "{}: {}",
                answer.status(),
                String::from_utf8_lossy(&body)
            ));
        }
        let mut first_chunk = None;
        let mut received = Vec::new();
        while let Some(bytes) = answer.next().await {
            received.extend_from_slice(&bytes?);
            if first_chunk.is_none() && find(&received, b"\"content\":\"") {
                first_chunk = Some(start.elapsed());
            }
        }
        let Some(first_chunk) = first_chunk else {
            let received = String::from_utf8_lossy(&received);
            return Err(eyre!("an answer without text: {received}"));
        };
        Ok(Times {
            first_chunk,
            whole: start.elapsed(),
        })
    }
}

fn find(bytes: &[u8], text: &[u8]) -> bool {
    bytes.windows(text.len()).any(|window| window == text)
}

async fn measure(target: &Target, in_flight: usize) -> eyre::Result<Vec<Times>> {
    let calls = if in_flight == 1 {
        CALLS_OF_ONE
    } else {
        CALLS_PER_CALLER
    };
    let callers = (0..in_flight).map(|caller| async move {
        let run = target.run().await?;
        let mut times = Vec::new();
        for call in 0..calls {
            // A failed call is missing from the figures; the table shows how many there are.
            match target.call(in_flight, caller, call, run.as_deref()).await {
                Ok(whole) => times.push(whole),
                Err(error) => ::log::error!("a call failed: {error}"),
            }
        }
        Ok::<_, eyre::Report>(times)
    });
    let results: eyre::Result<Vec<_>> = join_all(callers).await.into_iter().collect();
    Ok(results?.into_iter().flatten().collect())
}

fn percentile(times: &[Times], share: f64, part: Part) -> f64 {
    let mut sorted: Vec<Duration> = times.iter().map(part).collect();
    sorted.sort();
    let index = ((sorted.len() - 1) as f64 * share).round() as usize;
    sorted[index].as_secs_f64() * 1_000.0
}

fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(4_096);
    awc::Client::builder()
        .connector(connector)
        .timeout(CALL_TIMEOUT)
        .finish()
}

#[actix_rt::main]
async fn main() -> eyre::Result<()> {
    env_logger::init();
    let engines = start_engines()?;
    let (node, operator) = start_node(start_log()?)?;
    apply(&operator, &engines).await?;
    let target = |urls: Vec<String>, through_sidecar| Target {
        client: client(),
        urls,
        through_sidecar,
    };
    // Engines that the node does not know: it frees what its own hold for runs that are not live, and
    // the direct calls' runs are not.
    let unknown = start_engines()?;
    let direct = target(unknown.into_iter().map(|(_, url)| url).collect(), false);
    let through = target(vec![start_sidecar(node)?], true);
    measure(&through, 1).await.wrap_err("warming up")?;

    let mut table = Table::new();
    table.set_header([
        "in flight",
        "direct calls",
        "through calls",
        "what",
        "share",
        "direct ms",
        "through ms",
        "added ms",
    ]);
    for in_flight in IN_FLIGHT {
        let plain = measure(&direct, in_flight).await.wrap_err("direct")?;
        let routed = measure(&through, in_flight)
            .await
            .wrap_err("through the sidecar")?;
        let parts: [(&str, Part); 2] = [
            ("first chunk", |times| times.first_chunk),
            ("whole answer", |times| times.whole),
        ];
        for (what, part) in parts {
            for share in PERCENTILES {
                let direct = percentile(&plain, share, part);
                let through = percentile(&routed, share, part);
                table.add_row([
                    in_flight.to_string(),
                    plain.len().to_string(),
                    routed.len().to_string(),
                    what.to_owned(),
                    format!("p{:.0}", share * 100.0),
                    format!("{direct:.2}"),
                    format!("{through:.2}"),
                    format!("{:.2}", through - direct),
                ]);
            }
        }
        println!("{table}");
    }
    Ok(())
}
