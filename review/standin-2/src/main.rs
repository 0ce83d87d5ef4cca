//! Cases of the second review: a deployment of three instances, with stand-ins of the store, of
//! servers and of clients in this process.
//!
//!     review-standin-2 CASE ROOT FOLDER
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not be run. `TROUBLE=0` leaves
//! the disruption out.

mod fleet;
mod http;
mod json;
mod record;
mod server;
mod store;
mod uploads;

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fleet::Instance;
use http::Conn;
use record::Record;
use server::Server;
use store::Store;
use uploads::Kind;

const INSTANCES: u32 = 3;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&temporary);
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let result = match case.as_str() {
        "second-shed" => second_shed(&root, &folder, &temporary, trouble),
        "slow-upstreams" => uploads::run(Kind::SlowUpstreams, &root, &folder, &temporary, trouble),
        "chunks" => uploads::run(Kind::Chunks, &root, &folder, &temporary, trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    match result {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken {
                println!("{line}");
            }
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not be run: {e}");
            ExitCode::from(2)
        }
    }
}

/// One client attempt on a new connection; the status of its answer, 0 without one.
fn attempt(to: SocketAddr, method: &str, path: &str, id: &str, wait_ms: u64) -> u16 {
    let wait = Duration::from_millis(wait_ms);
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(wait));
    let mut conn = Conn::new(stream);
    let body = if method == "POST" { "lane 4" } else { "" };
    let req = format!(
        "{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {wait_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if conn.write(req.as_bytes()).is_err() {
        return 0;
    }
    match conn.read() {
        Ok(Some(answer)) => answer.status(),
        _ => 0,
    }
}

/// An upstream that is full sheds a request, and its second, identical answer comes where the
/// answer to the next request of that connection is expected.
fn second_shed(
    root: &Path,
    folder: &Path,
    temporary: &Path,
    trouble: bool,
) -> std::io::Result<Vec<String>> {
    /// As `garble` in the site file: share of the servers, of their answers, and seconds.
    const SERVERS: usize = 5;
    const FAULTY: usize = 3;
    const SHARE: f64 = 0.03;
    const LASTS: Duration = Duration::from_secs(5);
    const ROUNDS: u32 = 1;

    let record = Record::new();
    let store = Store::start("127.0.0.1")?;
    store.put("op", "config", r#"{"version":7,"routes":[{"name":"r-book","host":"jepu9.example","pathPrefix":"/puka111/","kind":"non_idempotent","timeoutS":1.2,"sloS":0.8,"priority":1,"service":"wuno96b","attempts":2}],"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}"#);
    let mut servers = Vec::new();
    for n in 0..SERVERS {
        let id = format!("i-{:08x}", 0x31b1_74c2_u32.wrapping_mul(n as u32 + 1));
        let server = Server::start("127.0.0.1", &id, (2, 1), 40, SHARE, &record)?;
        server.register(&store, "wuno96b");
        servers.push(server);
    }
    let mut instances = Vec::new();
    for n in 1..=INSTANCES {
        instances.push(Instance::start(n, root, temporary, store.address)?);
    }
    for instance in &mut instances {
        if !instance.wait_until_ready(Duration::from_secs(15)) {
            return Err(std::io::Error::other("an instance is not ready"));
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    record.note("all instances are ready".to_owned());

    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let mut number = 0_u32;
    let mut clients = Vec::new();
    for round in 0..ROUNDS {
        // Five seconds of trouble, and three without behind them.
        for (n, server) in servers.iter().enumerate() {
            server.set_trouble(trouble && n < FAULTY);
        }
        record.note(format!(
            "round {round}: second answers {}",
            if trouble { "begin" } else { "are left out" }
        ));
        let began = Instant::now();
        let mut is_over = false;
        while began.elapsed() < LASTS + Duration::from_secs(3) {
            if !is_over && began.elapsed() >= LASTS {
                is_over = true;
                for server in &servers {
                    server.set_trouble(false);
                }
                record.note(format!("round {round}: second answers end"));
            }
            // Clients book at the same moment through all instances.
            for i in 0..18 {
                number += 1;
                let id = format!("{:08x}{number:08x}", 0x9c41_d07b_u32);
                let to = instances[i % instances.len()].callers;
                let (record, answers) = (record.clone(), Arc::clone(&answers));
                clients.push(std::thread::spawn(move || {
                    record.note(format!("client sends {id} (POST) to {to}"));
                    let status = attempt(to, "POST", "/puka111/2f", &id, 2_000);
                    record.note(format!("client gets {status} for {id}"));
                    answers.lock().unwrap().push((id, status));
                }));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    drop(instances);

    let mut broken = Vec::new();
    let answers = answers.lock().unwrap();
    let mut counts = std::collections::BTreeMap::<u16, u32>::new();
    for (id, status) in answers.iter() {
        *counts.entry(*status).or_default() += 1;
        let runs = record.runs_of(id);
        if runs.len() > 1 {
            let at: Vec<_> = runs
                .iter()
                .map(|(s, server)| format!("{server} at {s:.3} s"))
                .collect();
            broken.push(format!(
                "TWICE: {id} is not idempotent and ran at {}",
                at.join(" and ")
            ));
        }
        if [408, 421, 429, 503].contains(status) && !runs.is_empty() {
            let (s, server) = &runs[0];
            broken.push(format!(
                "REFUSED: {id} was answered {status} and ran at {server} at {s:.3} s"
            ));
        }
    }
    println!("{} requests, answers by status: {counts:?}", answers.len());
    for line in &broken {
        record.note(line.clone());
    }
    record.write(&folder.join("record.txt"))?;
    Ok(broken)
}
