//! Runs a simulator on all site files of some directories and prints a table that
//! marks regressions.
//!
//! For each site in turn, the given program runs its `score` and `hunt` commands.
//! With `--base`, it also runs the standard days of each site in this and in an
//! earlier checkout, with the same seeds and without charging processor time.

use std::{
    fmt::{self, Display},
    fs, io,
    path::{Path, PathBuf},
    process::Command,
};

/// Days of a hunt on a site with fewer than [`LARGE_SITE`] machines.
const SMALL_SITE_DAYS: u32 = 40;
/// Days of a hunt on a larger site.
const LARGE_DAYS: u32 = 8;
/// Smallest number of machines of a large site.
const LARGE_SITE: u32 = 60;
/// A mean loss of worth above this counts as a regression; smaller ones are noise.
const MAX_WORTH_LOSS: f64 = 0.03;
/// The seed of days that run in both checkouts.
const FIRST_SEED: u32 = 1000;

/// Why the run failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are wrong.
    #[error("{0}; give the program, folders of site files, and perhaps `--base CHECKOUT`")]
    Usage(&'static str),
    /// A directory cannot be read or a program cannot be run.
    #[error("{file}: {source}; check the path")]
    Io {
        /// Path of the directory or program.
        file: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// That many sites show a regression.
    #[error("{0} sites show a regression; the table marks them")]
    Regressed(usize),
}

/// Command-line arguments.
#[derive(Debug, PartialEq, Eq)]
pub struct Args {
    program: PathBuf,
    folders: Vec<PathBuf>,
    base: Option<PathBuf>,
}

impl Args {
    /// Parses the arguments.
    ///
    /// # Errors
    /// [`Error::Usage`] if an argument is missing.
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

/// The results of one site, as a row of the table.
#[derive(Debug, Default)]
pub struct Row {
    /// File name of the site, without its extension.
    pub site: String,
    /// Whether the score passed its gate; `None` if the score printed no verdict.
    pub gate: Option<bool>,
    /// Mean worth of the standard days, without the quiet ones.
    pub worth: Option<f64>,
    /// Days of the hunt, and how many of them violated a rule; `None` if it did not end.
    pub hunt: Option<(u32, u32)>,
    /// Mean difference in worth to the earlier checkout; negative if worth was lost.
    pub difference: Option<f64>,
}

impl Row {
    /// Whether a result is missing, failed, or worse than in the earlier checkout.
    pub fn has_regressed(&self) -> bool {
        self.gate != Some(true)
            || self.hunt.is_none_or(|(_, broken)| broken > 0)
            || self.difference.is_some_and(|difference| difference < -MAX_WORTH_LOSS)
    }
}

impl Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gate = self.gate.map_or("not ended", |passed| if passed { "passed" } else { "FAILED" });
        let worth = self.worth.map_or("-".to_owned(), |worth| format!("{worth:.3}"));
        let hunt = self.hunt.map_or("-".to_owned(), |(days, broken)| format!("{broken} of {days}"));
        let difference =
            self.difference.map_or("-".to_owned(), |difference| format!("{difference:+.3}"));
        let mark = if self.has_regressed() { "  <- look" } else { "" };
        write!(f, "{:24} {gate:10} {worth:>6} {hunt:>9} {difference:>7}{mark}", self.site)
    }
}

/// Runs all site files and prints the table.
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
    match rows.iter().filter(|row| row.has_regressed()).count() {
        0 => Ok(()),
        count => Err(Error::Regressed(count)),
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
        Some(machines) if machines < LARGE_SITE => SMALL_SITE_DAYS,
        _ => LARGE_DAYS,
    };
    let (days, why) = (days.to_string(), "regression run");
    let hunt = output(root, &args.program, &["hunt", &file(), "--days", &days, "--why", why])?;
    let difference = match &args.base {
        Some(base) => compare(root, base, args, site, &worths)?,
        None => None,
    };
    Ok(Row {
        site: site.file_stem().unwrap_or_default().to_string_lossy().into_owned(),
        gate: gate(&score),
        worth: mean(worths.iter().filter(|(day, _)| !day.starts_with("quiet")).map(|(_, it)| *it)),
        hunt: broken(&hunt),
        difference,
    })
}

/// The mean difference in the standard days' worth to the checkout at `base`.
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

/// Reads the standard days and their worth from a score's lines `NAME N/N SCORE WORTH …`.
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

/// Reads the number of own machines of a site from the column `own/srv` of a score.
pub fn machines(text: &str) -> Option<u32> {
    let row = text.lines().find(|line| line.starts_with("quiet-"))?;
    row.split_whitespace().nth(1)?.split_once('/')?.0.parse().ok()
}

/// Reads from a score whether its gate was passed; `None` if there is no verdict.
pub fn gate(text: &str) -> Option<bool> {
    let verdict = text.lines().find_map(|line| line.strip_prefix("GATE "))?;
    Some(verdict.starts_with("passed"))
}

/// Reads the days of a hunt, and how many violated a rule, from its line
/// `N days on SITE, N with a rule broken`.
pub fn broken(text: &str) -> Option<(u32, u32)> {
    let line = text.lines().find(|line| line.contains(" with a rule broken"))?;
    let (days, rest) = line.split_once(" days on ")?;
    let broken = rest.split_once(", ")?.1.split(' ').next()?;
    Some((days.trim().parse().ok()?, broken.parse().ok()?))
}
