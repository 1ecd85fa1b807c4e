# ccache hashes paths relative to the source root, so that several worktrees can
# share one cache.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1
      ${CCACHE_PROGRAM})
endif()
