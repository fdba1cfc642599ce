# Builds everything under target/deps, which is on the path of Python.
set -eu
deps=target/deps
stamp=$deps/.requirements
if ! cmp -s requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements.txt
    cp requirements.txt "$stamp"
fi
rm -rf "$deps"/tanagerbend_*
cp -R packages/*/tanagerbend_* platform/tanagerbend_* "$deps"/
python3 -m compileall -q "$deps"
