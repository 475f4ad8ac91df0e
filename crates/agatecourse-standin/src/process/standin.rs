use crate::connection::AcceptedConnection;
use crate::process::middleware::{apply_faults, control_endpoints};
use crate::process::{FaultControl, Faults, ListenerGuard};
use actix_web::middleware::from_fn;
use actix_web::{App, HttpServer, web};
use serde_json::Value;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

/// Largest request body; entry nodes accept at most 4 MiB.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Running stand-in server with its own threads; dropping it stops the server.
#[derive(Debug)]
pub struct Standin {
    address: SocketAddr,
    control: Arc<FaultControl>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Standin {
    /// Loopback address with a port that the system assigns.
    pub const EPHEMERAL: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

    /// Starts a server with the endpoints that `configure` registers; `background` runs until the server stops.
    pub(crate) fn start<C, B>(
        address: SocketAddr,
        control: Arc<FaultControl>,
        configure: C,
        background: B,
    ) -> io::Result<Self>
    where
        C: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
        B: Future<Output = ()> + Send + 'static,
    {
        let (startup_sender, startup_receiver) = mpsc::channel();
        let shared = Arc::clone(&control);
        let thread = std::thread::Builder::new().name("standin".to_string()).spawn(move || {
            actix_rt::System::new().block_on(serve(
                address,
                shared,
                configure,
                background,
                startup_sender,
            ))
        })?;
        let address = startup_receiver.recv().map_err(io::Error::other)??;
        Ok(Self { address, control, thread: Some(thread) })
    }

    /// Makes an injected crash exit the whole process, as the stand-in program needs it.
    #[must_use]
    pub fn with_exit_on_crash(self) -> Self {
        self.control.exit_on_crash();
        self
    }

    /// Returns the address that the stand-in listens on, with the assigned port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of the current faults.
    pub fn faults(&self) -> Faults {
        self.control.faults()
    }

    /// Changes the faults named in a JSON object, as `POST /faults` does.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid field; the faults stay unchanged.
    pub fn change_faults(&self, patch: &Value) -> Result<Faults, String> {
        let patch = patch.as_object().ok_or_else(|| "expected a JSON object".to_string())?;
        self.control.apply_patch(patch)
    }

    /// Returns how often the request with the given `X-Request-Id` ran.
    pub fn runs_of(&self, request_id: &str) -> u64 {
        self.control.runs().runs_of(request_id)
    }

    /// Returns the request id and the time of each run in microseconds since the Unix epoch; only the first 64 runs of
    /// an id are listed.
    pub fn run_times(&self) -> Vec<(String, u64)> {
        self.control.runs().run_times()
    }

    /// Returns the total number of runs of all requests.
    pub fn total_runs(&self) -> u64 {
        self.control.runs().total_runs()
    }

    /// Stops the stand-in without waiting for in-flight requests, and waits until its port is closed.
    pub fn stop(&mut self) {
        self.control.stop();
        if let Some(thread) = self.thread.take() {
            // The panic hook has printed a panic of the server thread already.
            let _ = thread.join();
        }
    }

    /// Blocks until the stand-in stops.
    ///
    /// # Errors
    ///
    /// Returns the I/O error that ended the server, or an error when its thread panicked.
    pub fn join(mut self) -> io::Result<()> {
        match self.thread.take().map(JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(io::Error::other("server thread panicked")),
            None => Ok(()),
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns a JSON configuration that accepts any content type, as the platform's services do.
fn json_config() -> web::JsonConfig {
    let config = web::JsonConfig::default().limit(BODY_LIMIT_BYTES);
    config.content_type_required(false).content_type(|_| true)
}

async fn serve<C, B>(
    address: SocketAddr,
    control: Arc<FaultControl>,
    configure: C,
    background: B,
    startup_sender: mpsc::Sender<io::Result<SocketAddr>>,
) -> io::Result<()>
where
    C: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
    B: Future<Output = ()> + Send + 'static,
{
    let (listener, guard) = match ListenerGuard::bind(address) {
        Ok(bound) => bound,
        Err(error) => {
            let _ = startup_sender.send(Err(error));
            return Ok(());
        }
    };
    let listening = listener.local_addr()?;
    let data = web::Data::from(Arc::clone(&control));
    let silence_control = Arc::clone(&control);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(BODY_LIMIT_BYTES))
            .app_data(json_config())
            .wrap(from_fn(apply_faults))
            .configure(control_endpoints)
            .configure(configure.clone())
    })
    .on_connect(move |connection, extensions| {
        extensions.insert(AcceptedConnection::new(connection, silence_control.silence_count()));
    })
    // With a single worker a stand-in adds three threads to a test process.
    .workers(1)
    .keep_alive(Duration::from_secs(75))
    .client_request_timeout(Duration::from_secs(5))
    .disable_signals();
    let running = server.listen(listener)?.run();
    control.set_server(running.handle(), guard);
    // Fails only when the starting thread no longer waits.
    let _ = startup_sender.send(Ok(listening));
    let task = actix_rt::spawn(background);
    let result = running.await;
    task.abort();
    result
}
