//! A duty's call whose class carries a key: its one lost answer has the holder make the call of that period again when the
//! servers have forgotten the key, so that it is carried out twice.

#[path = "../harness-2.rs"]
mod harness;

use harness::*;
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `window` of the class, as in the site file: for so long the servers drop a repeat of a key, counted from its first send.
const WINDOW: Duration = Duration::from_millis(600);
/// The period whose first answer is lost.
const PERIOD: &str = "2";
/// How long the server stays silent about it.
const SILENCE: Duration = Duration::from_secs(8);

/// The settings of the class are those of the site file.
const SETTINGS: &str = r#"{"zones":["bog-1"],"tick":1000,"classes":[
{"name":"aprobacion","aim":250000,"deadline":600000,"gain":10,"late_worth":0.5,"semantics":"dedup","group":"all","window":600000,"stream":false}],
"limits":{"try_limit":5,"cancel":true,"probes":true,"connect_timeout":60000,"conn_idle":5000000,"parallel_tries":false},
"safety":{"drain_grace":2000000,"cold":8900000,"cold_from":0.34,"fall_multiple":3,"tip_after":1000000}}"#;

/// What all servers know together: they are one group.
#[derive(Default)]
struct Group {
    /// When each key was first taken, since it was last forgotten.
    keys: BTreeMap<String, Instant>,
    /// How often the work of each key was carried out.
    carried_out: BTreeMap<String, u32>,
    answer_lost: bool,
}

fn serve(n: usize, record: &Record, group: &Mutex<Group>, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
    let key = request.header("idempotency-key").to_owned();
    let id = request.header("x-request-id").to_owned();
    let what = format!("{key} (request {id}, fence {})", request.header("x-duty-fence"));
    let lost = {
        let mut group = group.lock().unwrap();
        let repeat = group.keys.get(&key).is_some_and(|since| since.elapsed() < WINDOW);
        if repeat {
            record.line(&format!("s{n} drops a repeat of {what}"));
        } else {
            group.keys.insert(key.clone(), Instant::now());
            *group.carried_out.entry(key.clone()).or_default() += 1;
            record.line(&format!("s{n} carries out {what}"));
        }
        let lost = trouble() && request.header("x-duty-period") == PERIOD && !group.answer_lost;
        group.answer_lost |= lost;
        lost
    };
    thread::sleep(ms(80));
    if lost {
        record.line(&format!("the answer of s{n} to {what} is lost"));
        thread::sleep(SILENCE);
        return Ok(false);
    }
    write_answer(stream, "200 OK", "", &id)?;
    record.line(&format!("s{n} has answered {what}"));
    Ok(true)
}

fn main() {
    guard();
    let record = Record::create("review/6");
    let folder = Folder::create();
    let group: Arc<Mutex<Group>> = Arc::default();
    let start = |n: usize| {
        let (record, group) = (record.clone(), group.clone());
        Server::start(Arc::new(move |request, stream| serve(n, &record, &group, request, stream)))
    };
    let servers: Vec<Server> = (0..4).map(start).collect();
    let entries: Vec<Entry> = servers.iter().enumerate().map(|(n, s)| entry(&format!("s{n}"), s.address)).collect();
    let discovery = Discovery::start(&record, &entries);
    let free = |_| UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port");
    let members: Vec<_> = (0..3).map(free).collect();
    let sidecars: Vec<Sidecar> = (0..3)
        .map(|n| {
            let mut limits = format!("version = 1\n[fleet]\nname = \"f\"\nlisten = \"{}\"\n", members[n]);
            for (voter, at) in members.iter().enumerate() {
                limits += &format!("[[fleet.voter]]\nname = \"n{voter}\"\nat = \"{at}\"\n");
            }
            limits += "[[duty]]\nname = \"settle\"\npath = \"/aprobacion/settle\"\nperiod = \"3s\"\n";
            let path = folder.0.join(format!("limits{n}.toml"));
            std::fs::write(&path, limits).expect("the limits file");
            let more = format!("\"limits_file\":\"{}\",", path.display());
            Sidecar::start(&folder, &format!("n{n}"), discovery.address, &discovery.known(), SETTINGS, LIMITS, &more)
                .expect("a sidecar")
        })
        .collect();
    // The first holder stands after some two seconds; each period takes three.
    let end = Instant::now() + Duration::from_secs(40);
    while group.lock().unwrap().carried_out.len() < 5 && Instant::now() < end {
        thread::sleep(ms(50));
    }
    thread::sleep(ms(1000));
    sidecars.iter().for_each(|sidecar| sidecar.copy_log(&record));
    drop(sidecars);
    drop(folder);
    let group = group.lock().unwrap();
    for (key, times) in &group.carried_out {
        record.line(&format!("{key} was carried out {times} times"));
    }
    if group.carried_out.len() < 5 || (trouble() && !group.answer_lost) {
        finish(&record, 2, "too few periods were played");
    }
    match group.carried_out.iter().find(|(_, times)| **times > 1) {
        Some((key, times)) => finish(&record, 1, &format!("{key} was carried out {times} times")),
        None => finish(&record, 0, "each period was carried out once"),
    }
}
