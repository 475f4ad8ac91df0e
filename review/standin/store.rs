//! Stand-in for the platform's store: rows in tables, transactions under conditions, lists and feeds.

use crate::http::{Message, read_message};
use crate::json::{Json, decode_base64, encode_base64, quote};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Change {
    table: String,
    key: String,
    /// `None` if the row was removed.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    by_key: BTreeMap<(String, String), Change>,
    history: Vec<Change>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    rows: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let store = Self { address, started: Instant::now(), rows: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().expect("no thread panics with the rows")
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.lock().write(table, key, Some(value.as_bytes().to_vec()));
        self.rows.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.lock().write(table, key, None);
        self.rows.1.notify_all();
    }

    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.lock();
        let row = rows.by_key.get(&(table.to_string(), key.to_string()))?;
        row.value.as_ref().map(|value| String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let path = request.start_line.split(' ').nth(1).unwrap_or_default();
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or_default()
        };
        let table = field("table");
        match call {
            "/v1/rows-get" => {
                let rows = self.lock();
                let present = rows
                    .by_key
                    .values()
                    .filter(|row| row.table == table && row.value.is_some())
                    .filter(|row| row.key.as_str() >= field("from"));
                (200, self.encode(present, rows.version))
            }
            "/v1/rows-feed" => {
                let after: u64 = field("afterRevision").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.lock();
                loop {
                    let changes: Vec<Change> = rows
                        .history
                        .iter()
                        .filter(|change| change.table == table && change.version > after)
                        .cloned()
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !changes.is_empty() || left.is_zero() {
                        return (200, self.encode(changes.iter(), rows.version));
                    }
                    let waited = self.rows.1.wait_timeout(rows, left);
                    rows = waited.expect("no thread panics with the rows").0;
                }
            }
            "/v1/rows-tx" => self.run_transaction(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_string()),
        }
    }

    fn run_transaction(&self, body: &str) -> (u16, String) {
        let Some(transaction) = Json::parse(body) else { return (400, "{}".to_string()) };
        let mut rows = self.lock();
        for condition in transaction.get("expectedRevision").list() {
            let key = (
                condition.get("table").text().to_string(),
                condition.get("key").text().to_string(),
            );
            let present = rows.by_key.get(&key).filter(|row| row.value.is_some());
            if present.map_or(0, |row| row.version) != condition.get("rowVersion").number() {
                let present: Vec<Change> = present.cloned().into_iter().collect();
                return (412, self.encode(present.iter(), rows.version));
            }
        }
        for write in transaction.get("setKeys").list() {
            let value = decode_base64(write.get("value").text());
            rows.write(write.get("table").text(), write.get("key").text(), Some(value));
        }
        for removal in transaction.get("remove").list() {
            rows.write(removal.get("table").text(), removal.get("key").text(), None);
        }
        self.rows.1.notify_all();
        (200, self.encode([].iter(), rows.version))
    }

    fn encode<'a>(&self, rows: impl Iterator<Item = &'a Change>, version: u64) -> String {
        let rows: Vec<String> = rows
            .map(|row| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":\"{}\"", encode_base64(value)),
                    None => "\"removed\":true".to_string(),
                };
                format!(
                    "{{\"table\":{},\"part\":\"\",\"key\":{},{value},\"rowVersion\":{}}}",
                    quote(&row.table),
                    quote(&row.key),
                    row.version
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"rowVersion\":{version},\"nowMs\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis() + 1
        )
    }
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let change =
            Change { table: table.to_string(), key: key.to_string(), value, version: self.version };
        self.history.push(change.clone());
        self.by_key.insert((table.to_string(), key.to_string()), change);
    }
}
