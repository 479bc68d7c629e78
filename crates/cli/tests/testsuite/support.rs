//! Commands run as the process would run them, against a real API on a
//! platform of the test's own.

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

/// When commands run: 2026-03-01T06:30:00Z.
pub const NOW: u64 = 1_772_346_600;

const TOKEN: &str = "a token of the test's own";

/// A running API, the platform under it, and files.
pub struct Bench {
    pub platform: Platform,
    pub url: String,
    pub token: Option<String>,
    files: PathBuf,
}

impl Bench {
    /// An API on an empty platform. `name` keeps the files of tests apart.
    pub async fn start(name: &str) -> Bench {
        let platform = Platform::default();
        let served = platform.serve();
        let files = std::env::temp_dir().join(format!("peatdeck-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&files).expect("a directory for the test's files");
        let url = admin(&served.addr().to_string());
        Bench { platform, url, token: Some(TOKEN.to_owned()), files }
    }

    /// Writes a file and gives its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.files.join(name);
        std::fs::write(&path, text).expect("the directory takes files");
        path.to_str().expect("an ordinary path").to_owned()
    }

    /// Reads a file that a command wrote.
    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.files.join(name)).expect("the command wrote it")
    }

    /// Runs a command line; a command of the API gets `--admin`.
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

/// Runs a command line; gives the exit code and what it prints.
pub async fn run(token: Option<String>, args: &[&str]) -> String {
    let command = match app::options().run_inner(args) {
        Ok(command) => command,
        Err(failure) => return format!("exit 2\n{}", failure.unwrap_stderr()),
    };
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

fn admin(platform: &str) -> String {
    let args = ["--listen", "127.0.0.1:0", "--log", platform, "--list", platform];
    let flags = settings::options().run_inner(&args[..]).expect("right settings");
    let mut settings = settings::check(&flags, Some(TOKEN.to_owned())).expect("right settings");
    settings.timeouts = Timeouts {
        append: Duration::from_millis(500),
        confirm: Duration::from_millis(500),
        in_force: Duration::from_millis(200),
        status: Duration::from_millis(500),
    };
    let listener = server::bind(settings.listen).expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("bound"));
    ntex::rt::spawn(server::start(listener, settings).expect("a server"));
    url
}

/// A relay instance's metrics address that gives these answers, one a connection, to
/// questions under that path.
pub fn instance(path: &'static str, answers: &[(u16, &'static str)]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answers = answers.to_vec();
    thread::spawn(move || {
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 1024];
            let read = stream.read(&mut head).unwrap();
            let asked = String::from_utf8_lossy(&head[..read]).into_owned();
            assert!(asked.contains(&format!(" {path}")), "{asked}");
            let len = body.len();
            let reply = format!(
                "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
            );
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    addr
}
