//! Plays the site files of some folders and prints one table with what fell.
//!
//! Each site is scored and hunted with the given program, one after the other;
//! with an earlier checkout, the days of each site are also played in both, the
//! same seeds, no processor time charged.

use std::{
    fmt::{self, Display},
    fs, io,
    path::{Path, PathBuf},
    process::Command,
};

/// Days of a hunt on a site of fewer machines than [`LARGE`].
const DAYS: u32 = 40;
/// Days of a hunt on a larger one.
const LARGE_DAYS: u32 = 8;
/// Machines from which on a site is a large one.
const LARGE: u32 = 60;
/// A fall of worth by more is one.
const NOISE: f64 = 0.03;
/// The first seed of days that are played in two checkouts.
const FIRST_SEED: u32 = 1000;

/// Why nothing was played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are off.
    #[error("{0}; give the program, folders of site files, and perhaps `--base CHECKOUT`")]
    Usage(&'static str),
    /// A file or program cannot be used.
    #[error("{file}: {source}; check the path")]
    Io {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Something fell.
    #[error("{0} of the sites fell; the table names them")]
    Fell(usize),
}

/// What is asked for.
#[derive(Debug, PartialEq, Eq)]
pub struct Args {
    program: PathBuf,
    folders: Vec<PathBuf>,
    base: Option<PathBuf>,
}

impl Args {
    /// Reads them.
    ///
    /// # Errors
    /// [`Error::Usage`].
    pub fn read(args: &[&str]) -> Result<Args, Error> {
        let mut args = args.iter();
        let program = args.next().ok_or(Error::Usage("no program is given"))?.into();
        let (mut folders, mut base) = (Vec::new(), None);
        while let Some(arg) = args.next() {
            match *arg {
                "--base" => {
                    base = Some(args.next().ok_or(Error::Usage("`--base` lacks its path"))?.into());
                }
                folder => folders.push(folder.into()),
            }
        }
        if folders.is_empty() {
            return Err(Error::Usage("no folder is given"));
        }
        Ok(Args { program, folders, base })
    }
}

/// One site's row of the table.
#[derive(Debug, Default)]
pub struct Row {
    /// The site's name.
    pub site: String,
    /// Whether its gate was passed; `None` if the score did not end.
    pub gate: Option<bool>,
    /// Mean worth of its standard days with trouble.
    pub worth: Option<f64>,
    /// Days hunted, and those with a broken rule.
    pub hunt: Option<(u32, u32)>,
    /// Mean difference to the earlier checkout.
    pub less: Option<f64>,
}

impl Row {
    /// Whether it shows something that must not be.
    pub fn fell(&self) -> bool {
        self.gate != Some(true)
            || self.hunt.is_none_or(|(_, broken)| broken > 0)
            || self.less.is_some_and(|less| less < -NOISE)
    }
}

impl Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gate = self.gate.map_or("not ended", |passed| if passed { "passed" } else { "FAILED" });
        let worth = self.worth.map_or("-".to_owned(), |worth| format!("{worth:.3}"));
        let hunt = self.hunt.map_or("-".to_owned(), |(days, broken)| format!("{broken} of {days}"));
        let less = self.less.map_or("-".to_owned(), |less| format!("{less:+.3}"));
        let fell = if self.fell() { "  <- look" } else { "" };
        write!(f, "{:24} {gate:10} {worth:>6} {hunt:>9} {less:>7}{fell}", self.site)
    }
}

/// Plays all site files and prints the table.
///
/// # Errors
/// Any [`Error`].
pub fn run(root: &Path, args: &[&str]) -> Result<(), Error> {
    let args = Args::read(args)?;
    let mut rows = Vec::new();
    for site in sites(&args.folders)? {
        rows.push(play(root, &args, &site)?);
        println!("{}", rows[rows.len() - 1]);
    }
    println!("\n{:24} {:10} {:>6} {:>9} {:>7}", "site", "gate", "worth", "broken", "pairs");
    rows.iter().for_each(|row| println!("{row}"));
    match rows.iter().filter(|row| row.fell()).count() {
        0 => Ok(()),
        count => Err(Error::Fell(count)),
    }
}

fn sites(folders: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut sites = Vec::new();
    for folder in folders {
        let at = |source| Error::Io { file: folder.clone(), source };
        for file in fs::read_dir(folder).map_err(at)? {
            let path = file.map_err(at)?.path();
            if path.extension().is_some_and(|extension| extension == "toml") {
                sites.push(path);
            }
        }
    }
    sites.sort();
    Ok(sites)
}

fn play(root: &Path, args: &Args, site: &Path) -> Result<Row, Error> {
    let file = || site.display().to_string();
    let score = output(root, &args.program, &["score", &file(), "--why", "regression run"])?;
    let worths = worths(&score);
    let days = match machines(&score) {
        Some(machines) if machines < LARGE => DAYS,
        _ => LARGE_DAYS,
    };
    let (days, why) = (days.to_string(), "regression run");
    let hunt = output(root, &args.program, &["hunt", &file(), "--days", &days, "--why", why])?;
    let less = match &args.base {
        Some(base) => compare(root, base, args, site, &worths)?,
        None => None,
    };
    Ok(Row {
        site: site.file_stem().unwrap_or_default().to_string_lossy().into_owned(),
        gate: gate(&score),
        worth: mean(worths.iter().filter(|(day, _)| !day.starts_with("quiet")).map(|(_, it)| *it)),
        hunt: broken(&hunt),
        less,
    })
}

/// The mean difference of the standard days' worth to another checkout.
fn compare(
    root: &Path,
    base: &Path,
    args: &Args,
    site: &Path,
    days: &[(String, f64)],
) -> Result<Option<f64>, Error> {
    let (site, seed) = (site.display().to_string(), FIRST_SEED.to_string());
    let mut differences = Vec::new();
    for (day, _) in days {
        let why = "regression run, paired";
        let call = ["run", &site, day, "--seed", &seed, "--no-cpu", "--why", why];
        let pair = (output(base, &args.program, &call)?, output(root, &args.program, &call)?);
        let worth = |text: &str| worths(text).first().map(|(_, worth)| *worth);
        if let (Some(before), Some(now)) = (worth(&pair.0), worth(&pair.1)) {
            differences.push(now - before);
        }
    }
    Ok(mean(differences.into_iter()))
}

fn output(checkout: &Path, program: &Path, args: &[&str]) -> Result<String, Error> {
    let at = |source| Error::Io { file: program.to_owned(), source };
    let output = Command::new(program).args(args).current_dir(checkout).output().map_err(at)?;
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let values: Vec<_> = values.collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// The standard days of a score and their worth: `NAME N/N SCORE WORTH …`.
pub fn worths(text: &str) -> Vec<(String, f64)> {
    let row = |line: &str| {
        let mut words = line.split_whitespace();
        let (day, sizes) = (words.next()?, words.next()?);
        let is_standard = ["quiet-", "trouble-", "scale-"].iter().any(|it| day.starts_with(it));
        let worth = words.nth(1)?.parse().ok()?;
        (is_standard && sizes.contains('/')).then(|| (day.to_owned(), worth))
    };
    text.lines().filter_map(row).collect()
}

/// How many machines of ours a site has.
pub fn machines(text: &str) -> Option<u32> {
    let row = text.lines().find(|line| line.starts_with("quiet-"))?;
    row.split_whitespace().nth(1)?.split_once('/')?.0.parse().ok()
}

/// Whether a score's gate was passed.
pub fn gate(text: &str) -> Option<bool> {
    let verdict = text.lines().find_map(|line| line.strip_prefix("GATE "))?;
    Some(verdict.starts_with("passed"))
}

/// Days of a hunt, and how many broke a rule: `N days on SITE, N with a rule …`.
pub fn broken(text: &str) -> Option<(u32, u32)> {
    let line = text.lines().find(|line| line.contains(" with a rule broken"))?;
    let (days, rest) = line.split_once(" days on ")?;
    let broken = rest.split_once(", ")?.1.split(' ').next()?;
    Some((days.trim().parse().ok()?, broken.parse().ok()?))
}
