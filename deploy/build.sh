# Builds everything under target/deps, which is on the path of Python.
set -eu
deps=target/deps
stamp=$deps/.built-for
# Compiled libraries of another kind of machine or Python can't be loaded.
built_for=$(cat requirements.txt && uname -m && python3 -V)
if [ "$(cat "$stamp" 2>/dev/null)" != "$built_for" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements.txt
    echo "$built_for" > "$stamp"
fi
rm -rf "$deps"/tanagerbend_*
cp -R packages/*/tanagerbend_* platform/tanagerbend_* "$deps"/
python3 -m compileall -q "$deps"
