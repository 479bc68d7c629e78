//! Runs commands as the process does, against a real API on a simulated
//! platform, one for each test.

#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::TcpListener,
    path::PathBuf,
    thread,
    time::{Duration, SystemTime},
};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use peatdeck::{app, shell::Environment};
use peatdeck_admin::{context::Timeouts, server, settings};
use peatdeck_test_support::platform::Platform;
use peatdeck_util::secret::Secret;

/// Current time of the commands: 2026-03-01T06:30:00Z.
pub const NOW: u64 = 1_772_346_600;

const TOKEN: &str = "a token of the test's own";

/// A running API, the platform that it uses, and a directory of the test's files.
pub struct Bench {
    pub platform: Platform,
    pub url: String,
    pub token: Option<String>,
    files: PathBuf,
}

impl Bench {
    /// An API on an empty platform. `name` is part of the directory's name and differs
    /// from test to test.
    pub async fn start(name: &str) -> Bench {
        let platform = Platform::default();
        let served = platform.serve();
        let files = std::env::temp_dir().join(format!("peatdeck-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&files).expect("a directory for the test's files");
        let url = start_admin(&served.addr().to_string());
        Bench { platform, url, token: Some(TOKEN.to_owned()), files }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.files.join(name);
        std::fs::write(&path, text).expect("a writable directory");
        path.to_str().expect("a path in UTF-8").to_owned()
    }

    /// Reads a file that a command wrote.
    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.files.join(name)).expect("a file that the command wrote")
    }

    /// Runs a command line, with `--admin` added for all commands but `check`.
    pub async fn run(&self, args: &[&str]) -> String {
        let mut args = args.to_vec();
        if args[0] != "check" {
            args.extend(["--admin", &self.url]);
        }
        let shown = run(self.token.clone(), &args).await;
        shown.replace(&format!("{}/", self.files.display()), "").replace(&self.url, "http://admin")
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.files).ok();
    }
}

/// Runs a command line; returns the exit code and the output.
pub async fn run(token: Option<String>, args: &[&str]) -> String {
    let command = match app::options().run_inner(args) {
        Ok(command) => command,
        Err(failure) => return format!("exit 2\n{}", failure.unwrap_stderr()),
    };
    let token = token.map(Secret::from);
    let env = Environment { token, now: SystemTime::UNIX_EPOCH + Duration::from_secs(NOW) };
    match app::exec(&env, command).await {
        Ok(output) => format!("exit {}\n{}", output.code as u8, output.text),
        Err(error) => format!("exit {}\n{}", error.code() as u8, report(&error)),
    }
}

fn report(error: &dyn Diagnostic) -> String {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none()).with_width(100);
    handler.render_report(&mut text, error).expect("a report");
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}

fn start_admin(platform: &str) -> String {
    let args = ["--listen", "127.0.0.1:0", "--log", platform, "--list", platform];
    let flags = settings::options().run_inner(&args[..]).expect("valid settings");
    let mut settings = settings::check(&flags, Some(TOKEN.to_owned())).expect("valid settings");
    settings.timeouts = Timeouts {
        append: Duration::from_millis(500),
        confirm: Duration::from_millis(500),
        in_force: Duration::from_millis(200),
        status: Duration::from_millis(500),
    };
    let listener = server::bind(settings.listen).expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("a bound address"));
    ntex::rt::spawn(server::start(listener, settings).expect("a server"));
    url
}

/// Serves these responses like the metrics address of a relay instance, one per
/// connection, to requests for `path`; returns the address.
pub fn instance(path: &'static str, responses: &[(u16, &'static str)]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let responses = responses.to_vec();
    thread::spawn(move || {
        for (status, body) in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 1024];
            let read = stream.read(&mut head).unwrap();
            let request = String::from_utf8_lossy(&head[..read]).into_owned();
            assert!(request.contains(&format!(" {path}")), "{request}");
            let len = body.len();
            let reply = format!(
                "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
            );
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    addr
}
