//! Tests of the system calls by which the names of files become durable.

use super::Region;
use std::{
    env, fs,
    path::{Path, PathBuf},
    process::Command,
};

/// A library that is loaded before the C library. It records renames and full syncs of folders, a line each, in the file
/// that `CALL_LOG` names. While there is a file that `SYNC_DELAY` names, each sync takes as many milliseconds longer as it
/// says.
const RECORDER: &str = r#"
type Char = std::ffi::c_char;
type Int = std::ffi::c_int;
type Pointer = *mut std::ffi::c_void;

unsafe extern "C" {
    fn dlsym(handle: Pointer, symbol: *const Char) -> Pointer;
}

/// Handle for the next library that defines a symbol.
const RTLD_NEXT: Pointer = -1isize as Pointer;

fn record(line: &str) {
    if let Some(file) = std::env::var_os("CALL_LOG") {
        let f = std::fs::File::options().create(true).append(true).open(file);
        f.and_then(|mut f| std::io::Write::write_all(&mut f, line.as_bytes())).expect("recorded");
    }
}

fn delay() {
    let file = std::env::var_os("SYNC_DELAY");
    let text = file.and_then(|file| std::fs::read_to_string(file).ok());
    if let Some(ms) = text.and_then(|text| text.parse().ok()) {
        std::thread::sleep(std::time::Duration::from_millis(ms));
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const Char, to: *const Char) -> Int {
    type Rename = unsafe extern "C" fn(*const Char, *const Char) -> Int;
    unsafe {
        let next: Rename = std::mem::transmute(dlsym(RTLD_NEXT, c"rename".as_ptr()));
        let result = next(from, to);
        if result == 0 {
            record(&format!("rename {}\n", std::ffi::CStr::from_ptr(to).to_string_lossy()));
        }
        result
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: Int) -> Int {
    delay();
    unsafe {
        let next: unsafe extern "C" fn(Int) -> Int =
            std::mem::transmute(dlsym(RTLD_NEXT, c"fdatasync".as_ptr()));
        next(fd)
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: Int) -> Int {
    delay();
    let result = unsafe {
        let next: unsafe extern "C" fn(Int) -> Int =
            std::mem::transmute(dlsym(RTLD_NEXT, c"fsync".as_ptr()));
        next(fd)
    };
    if let Ok(path) = std::fs::read_link(format!("/proc/self/fd/{fd}"))
        && result == 0
        && path.is_dir()
    {
        record(&format!("sync {}\n", path.display()));
    }
    result
}
"#;

/// Builds the library in this folder.
pub(crate) fn build_recorder(folder: &Path) -> PathBuf {
    let (source, library) = (folder.join("recorder.rs"), folder.join("librecorder.so"));
    fs::write(&source, RECORDER).expect("written");
    let compiler = env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
    let built = Command::new(compiler)
        .args(["--edition", "2024", "--crate-type", "cdylib", "-o"])
        .args([&library, &source])
        .status()
        .expect("a compiler");
    assert!(built.success());
    library
}

/// Folders were synced by `fdatasync`, which makes no names durable. A loss of power could take the files with the ids of
/// members while their logs were there: the members found no id or one of another log, and the group was gone.
#[test]
fn renamed_files_are_followed_by_a_full_sync_of_their_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let (library, log) = (build_recorder(folder.path()), folder.path().join("calls"));
    let mut region = Region::new(1);
    region.set_variables(0, vec![("LD_PRELOAD", library), ("CALL_LOG", log.clone())]);
    region.start(0, true);
    region.await_members(1);
    region.stop(0);
    let calls = fs::read_to_string(log).expect("calls");
    let calls: Vec<&str> = calls.lines().collect();
    let data_folder = region.data_folder(0);
    for name in ["member-id", "group/node", "voters.json"] {
        let path = data_folder.join(name);
        let rename = format!("rename {}", path.display());
        let sync = format!("sync {}", path.parent().expect("a folder").display());
        let renamed = calls.iter().position(|call| *call == rename).expect("a rename");
        assert!(calls[renamed..].contains(&sync.as_str()), "no sync after {rename}: {calls:?}");
        assert!(path.exists());
    }
}
