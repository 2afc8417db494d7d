# The packages that the project needs, and how to install them; to be sourced.

PACKAGES=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev
  libboost-dev cppzmq-dev libzmq3-dev libprotobuf-dev protobuf-compiler
  prometheus-cpp-dev libgflags-dev libfmt-dev libtomlplusplus-dev
  nlohmann-json3-dev librapidcheck-dev libxxhash-dev libssl-dev
  libgtest-dev libbenchmark-dev
)

# install_packages: installs what is missing; does nothing if all is there.
install_packages() {
  local missing=() package
  for package in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'install ok installed' || missing+=("$package")
  done
  ((${#missing[@]} == 0)) && return 0
  local as_root=()
  ((EUID == 0)) || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq \
    "${missing[@]}" >/dev/null
}
