//! Checks that the pages in `docs/` name only files, paths and test functions that exist in this
//! repository.
//!
//! `docs/incidents/` and `docs/questions.md` are not checked: they describe earlier states.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Endings that mark a backticked word as the name of a file.
const FILE_ENDINGS: &[&str] = &[".rs", ".md", ".hcl", ".toml"];

/// Folders that mark a backticked word as a path from the repository's root.
const ROOT_FOLDERS: &[&str] = &["crates/", "docs/", "examples/", "deploy/"];

/// Pages about earlier states, whose names need not exist any more.
const HISTORY_PAGES: &[&str] = &["questions.md"];

/// Minimum number of underscores that marks a lower-case word as the name of a test.
const MIN_TEST_NAME_UNDERSCORES: usize = 3;

/// A backticked word and its position, for error messages.
struct Mention {
    page: String,
    line: usize,
    word: String,
}

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Adds the path of each file and folder below `folder`, relative to the root, to `paths`.
fn collect_paths(root: &Path, folder: &str, paths: &mut BTreeSet<String>) {
    for entry in fs::read_dir(root.join(folder)).expect("a readable folder") {
        let entry = entry.expect("a folder's entry");
        let name = entry.file_name().into_string().expect("a name in UTF-8");
        let path = format!("{folder}/{name}");
        if entry.file_type().expect("a file type").is_dir() {
            collect_paths(root, &path, paths);
        }
        paths.insert(path);
    }
}

/// All paths that a page may name: the files in the root, and everything below `ROOT_FOLDERS`.
fn repository_paths() -> BTreeSet<String> {
    let root = repository();
    let mut paths = BTreeSet::new();
    for entry in fs::read_dir(&root).expect("the repository's root") {
        let entry = entry.expect("a folder's entry");
        if entry.file_type().expect("a file type").is_file() {
            paths.insert(entry.file_name().into_string().expect("a name in UTF-8"));
        }
    }
    for folder in ROOT_FOLDERS {
        let folder = folder.trim_end_matches('/');
        paths.insert(folder.to_owned());
        collect_paths(&root, folder, &mut paths);
    }
    paths
}

/// The name of the function that a line of Rust declares, if any. Comments declare none.
fn declared_function(line: &str) -> Option<String> {
    let is_qualifier =
        |word: &str| matches!(word, "async" | "const" | "unsafe" | "extern") || word.starts_with("pub");
    let declaration = line.split_whitespace().skip_while(|word| is_qualifier(word)).collect::<Vec<_>>();
    let [keyword, rest, ..] = declaration.as_slice() else { return None };
    let is_in_name = |c: &char| c.is_alphanumeric() || *c == '_';
    (*keyword == "fn").then(|| rest.chars().take_while(is_in_name).collect())
}

/// The names of all functions in the Rust sources under `crates/`.
fn function_names(paths: &BTreeSet<String>) -> BTreeSet<String> {
    let sources = paths.iter().filter(|path| path.starts_with("crates/") && path.ends_with(".rs"));
    let mut names = BTreeSet::new();
    for path in sources {
        let source = fs::read_to_string(repository().join(path)).expect("a readable source");
        names.extend(source.lines().filter_map(declared_function));
    }
    names
}

/// The words in single backticks on one page. Fenced blocks are skipped: they contain commands, not
/// names. A code span may continue on the next line, but not beyond its paragraph.
fn mentions_in(page: &str, text: &str) -> Vec<Mention> {
    let mut is_fenced = false;
    let mut mentions = Vec::new();
    let mut open_word: Option<String> = None;
    for (index, line) in text.lines().enumerate() {
        let is_fence = line.trim_start().starts_with("```");
        is_fenced ^= is_fence;
        if is_fence || is_fenced || line.trim().is_empty() {
            open_word = None;
            continue;
        }
        for (position, piece) in line.split('`').enumerate() {
            if position == 0 {
                if let Some(word) = &mut open_word {
                    word.push(' ');
                    word.push_str(piece.trim_start());
                }
                continue;
            }
            open_word = match open_word.take() {
                Some(word) => {
                    mentions.push(Mention { page: page.to_owned(), line: index + 1, word });
                    None
                }
                None => Some(piece.to_owned()),
            };
        }
    }
    mentions
}

/// The backticked words of all pages except `HISTORY_PAGES`.
fn mentions() -> Vec<Mention> {
    let mut mentions = Vec::new();
    for entry in fs::read_dir(repository().join("docs")).expect("the pages") {
        let path = entry.expect("a folder's entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).expect("a name in UTF-8").to_owned();
        if !name.ends_with(".md") || HISTORY_PAGES.contains(&name.as_str()) {
            continue;
        }
        mentions.extend(mentions_in(&name, &fs::read_to_string(&path).expect("a readable page")));
    }
    mentions
}

fn is_path(word: &str) -> bool {
    let has_blank = word.contains(char::is_whitespace);
    let names_file = FILE_ENDINGS.iter().any(|ending| word.ends_with(ending) && word.len() > ending.len());
    let names_folder = ROOT_FOLDERS.iter().any(|folder| word.starts_with(folder));
    !has_blank && (names_file || names_folder)
}

/// Whether a word is a path from the root, or consists of the last components of a path under
/// `crates/`.
fn path_exists(word: &str, paths: &BTreeSet<String>) -> bool {
    let word = word.trim_end_matches('/');
    let ending = format!("/{word}");
    paths.contains(word) || paths.iter().any(|path| path.starts_with("crates/") && path.ends_with(&ending))
}

fn is_test_name(word: &str) -> bool {
    let is_in_name = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    word.chars().all(is_in_name) && word.matches('_').count() >= MIN_TEST_NAME_UNDERSCORES
}

fn format_list(unknown: &[&Mention]) -> String {
    let lines = unknown.iter().map(|m| format!("docs/{}:{}: {}", m.page, m.line, m.word));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn pages_name_only_files_that_exist() {
    let paths = repository_paths();
    let mentions = mentions();
    let named: Vec<&Mention> = mentions.iter().filter(|m| is_path(&m.word)).collect();
    assert!(!named.is_empty(), "the pages must name some files");

    let unknown: Vec<&Mention> = named.into_iter().filter(|m| !path_exists(&m.word, &paths)).collect();

    assert!(unknown.is_empty(), "no such file:\n{}", format_list(&unknown));
}

#[test]
fn pages_name_only_tests_that_exist() {
    let functions = function_names(&repository_paths());
    let mentions = mentions();
    let named: Vec<&Mention> = mentions.iter().filter(|m| is_test_name(&m.word)).collect();
    assert!(!named.is_empty(), "the pages must name some tests");

    let unknown: Vec<&Mention> = named.into_iter().filter(|m| !functions.contains(&m.word)).collect();

    assert!(unknown.is_empty(), "no such function:\n{}", format_list(&unknown));
}

#[test]
fn a_path_matches_by_whole_components_only() {
    let paths = BTreeSet::from(["crates/a/src/worker".to_owned(), "crates/a/src/worker/mod.rs".to_owned()]);

    assert!(!path_exists("worker.rs", &paths));
    assert!(!path_exists("er/mod.rs", &paths));
    assert!(path_exists("worker/mod.rs", &paths));
    assert!(path_exists("crates/a/src/worker/", &paths));
}

#[test]
fn code_spans_are_found_across_lines_and_outside_fenced_blocks() {
    let page = "`a.rs` and `b\n  c.rs`: `d.rs`\n```\n`e.rs`\n```\nan open `span\n\n`f.rs`";

    let words: Vec<(usize, String)> =
        mentions_in("page.md", page).into_iter().map(|m| (m.line, m.word)).collect();

    let expected = [(1, "a.rs"), (2, "b c.rs"), (2, "d.rs"), (8, "f.rs")];
    assert_eq!(words, expected.map(|(line, word)| (line, word.to_owned())));
}

#[test]
fn function_names_are_read_from_declarations_only() {
    assert_eq!(declared_function("    pub async fn wait_for_it<T>(&self) {").as_deref(), Some("wait_for_it"));
    assert_eq!(declared_function("fn plain() {}").as_deref(), Some("plain"));
    assert_eq!(declared_function("/// Like fn another_one()"), None);
    assert_eq!(declared_function("let call = another_one();"), None);
}
